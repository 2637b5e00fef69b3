/**
 * The parts of prom-client that the daemon uses. Its own entry also loads
 * the cluster module and collectors of Node.js figures.
 */
export { default as Counter } from "prom-client/lib/counter.js";
export { default as Gauge } from "prom-client/lib/gauge.js";
export { default as Histogram } from "prom-client/lib/histogram.js";
export { default as Registry } from "prom-client/lib/registry.js";

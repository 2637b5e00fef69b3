/** Metrics of the daemon; docs/OPERATIONS.md lists names and units. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

const SECONDS_BUCKETS = [
  0.001, 0.0025, 0.005, 0.01, 0.02, 0.04, 0.079, 0.12, 0.2, 0.4, 0.83, 1.5, 3,
  6, 15, 60,
];

/**
 * Creates the metrics of one daemon in their own registry. No label names an
 * organisation: with 6,400 organisations and 16 models, two histograms alone
 * would have 204,800 series of 19 numbers in each instance.
 * `createServiceLevels` counts by organisation and limits its series.
 */
export function createMetrics() {
  const registry = new Registry();
  const registers = [registry];
  return {
    registry,
    requests: new Counter({
      name: "rosemarypin_requests_total",
      help: "Calls that got their final answer, by kind and outcome",
      labelNames: ["kind", "name", "outcome"] as const,
      registers,
    }),
    firstToken: new Histogram({
      name: "rosemarypin_first_token_seconds",
      help: "Time from the whole request to the first token",
      labelNames: ["model"] as const,
      buckets: SECONDS_BUCKETS,
      registers,
    }),
    betweenTokens: new Histogram({
      name: "rosemarypin_between_tokens_seconds",
      help: "Time between two tokens of one answer",
      labelNames: ["model"] as const,
      buckets: SECONDS_BUCKETS,
      registers,
    }),
    recoveries: new Counter({
      name: "rosemarypin_recoveries_total",
      help: "Answers that went on after the loss of a stage",
      labelNames: ["model"] as const,
      registers,
    }),
    recoverySeconds: new Histogram({
      name: "rosemarypin_recovery_seconds",
      help: "Time from the loss of a stage being seen to the next token",
      labelNames: ["model"] as const,
      buckets: SECONDS_BUCKETS,
      registers,
    }),
    recoveriesWaiting: new Gauge({
      name: "rosemarypin_recoveries_waiting",
      help: "Answers that wait for their turn to recover",
      registers,
    }),
    noteNumber: new Gauge({
      name: "rosemarypin_note_number",
      help: "Number of the release note that the instance applies",
      registers,
    }),
    noteApplyDelay: new Histogram({
      name: "rosemarypin_note_apply_seconds",
      help: "Time from a note's recording to its use here, by both clocks",
      buckets: SECONDS_BUCKETS,
      registers,
    }),
    claims: new Counter({
      name: "rosemarypin_claims_total",
      help: "Claims of calls that must not be repeated, by what became of them",
      labelNames: ["service", "result"] as const,
      registers,
    }),
    limited: new Counter({
      name: "rosemarypin_limited_total",
      help: "Requests refused since their organisation is beyond its limits",
      registers,
    }),
    storeCalls: new Counter({
      name: "rosemarypin_store_calls_total",
      help: "Calls to the platform's object API, by operation and result",
      labelNames: ["operation", "result"] as const,
      registers,
    }),
    peerBytes: new Counter({
      name: "rosemarypin_peer_bytes_total",
      help: "Bytes of datagrams between instances with headers, by direction",
      labelNames: ["direction"] as const,
      registers,
    }),
    peerDatagramsDropped: new Counter({
      name: "rosemarypin_peer_datagrams_dropped_total",
      help: "Datagrams that were not taken in, by reason",
      labelNames: ["reason"] as const,
      registers,
    }),
    peers: new Gauge({
      name: "rosemarypin_peers",
      help: "Known instances other than this one, by state",
      labelNames: ["state"] as const,
      registers,
    }),
    inFlight: new Gauge({
      name: "rosemarypin_in_flight",
      help: "Answers and calls in progress",
      registers,
    }),
    plannedPipelines: new Gauge({
      name: "rosemarypin_planned_pipelines",
      help: "Pipelines that the holder of a domain's lease plans, by model",
      labelNames: ["domain", "model"] as const,
      registers,
    }),
    queued: new Gauge({
      name: "rosemarypin_queued",
      help: "Requests that wait for a pipeline",
      registers,
    }),
  };
}

export type Metrics = ReturnType<typeof createMetrics>;

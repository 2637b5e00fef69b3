/** Metrics of the daemon; docs/OPERATIONS.md lists names and units. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

const SECONDS_BUCKETS = [
  0.001, 0.0025, 0.005, 0.01, 0.02, 0.04, 0.079, 0.12, 0.2, 0.4, 0.83, 1.5, 3,
  6, 15, 60,
];

/**
 * Creates the metrics of one daemon in their own registry. No label names an
 * organisation: with 6,400 organisations and 16 models, the histograms
 * `firstToken` and `betweenTokens` alone would have 204,800 series of 19
 * numbers in each instance. `createServiceLevels` counts by organisation and
 * limits its series.
 */
export function createMetrics() {
  const registry = new Registry();
  const registers = [registry];
  return {
    registry,
    requests: new Counter({
      name: "rosemarypin_requests_total",
      help: "Answers and service calls that ended, by kind, name and outcome",
      labelNames: ["kind", "name", "outcome"] as const,
      registers,
    }),
    firstToken: new Histogram({
      name: "rosemarypin_first_token_seconds",
      help: "Time from the complete request to the first token",
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
      help: "Answers that continued after the loss of a stage",
      labelNames: ["model"] as const,
      registers,
    }),
    recoverySeconds: new Histogram({
      name: "rosemarypin_recovery_seconds",
      help: "Time from the detection of a lost stage to the next token",
      labelNames: ["model"] as const,
      buckets: SECONDS_BUCKETS,
      registers,
    }),
    recoveriesWaiting: new Gauge({
      name: "rosemarypin_recoveries_waiting",
      help: "Answers that wait for a recovery slot",
      registers,
    }),
    noteNumber: new Gauge({
      name: "rosemarypin_note_number",
      help: "Number of the release note that the instance applies",
      registers,
    }),
    noteApplyDelay: new Histogram({
      name: "rosemarypin_note_apply_seconds",
      help: "Time from recording a release note to applying it, by wall clocks",
      buckets: SECONDS_BUCKETS,
      registers,
    }),
    claims: new Counter({
      name: "rosemarypin_claims_total",
      help: "Claims of calls that must not be repeated, by result",
      labelNames: ["service", "result"] as const,
      registers,
    }),
    limited: new Counter({
      name: "rosemarypin_limited_total",
      help: "Requests refused because their organisation exceeded its limits",
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
      help: "Bytes of datagrams between instances, headers included, by direction",
      labelNames: ["direction"] as const,
      registers,
    }),
    peerDatagramsDropped: new Counter({
      name: "rosemarypin_peer_datagrams_dropped_total",
      help: "Datagrams that were rejected, by reason",
      labelNames: ["reason"] as const,
      registers,
    }),
    peers: new Gauge({
      name: "rosemarypin_peers",
      help: "Other instances in the member list, by state",
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
      help: "Pipelines planned by the holder of a domain's lease, by model",
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

/** Prometheus metrics of one gateway. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { ServerCounts } from "../backends/mod.ts";
import type { CallEnd, CallerCall } from "../callers/mod.ts";

const SECONDS_BUCKETS = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.83, 1.5, 3, 6, 15, 30,
];

export interface GatewayMetrics {
  readonly registry: Registry;
  countEnd(call: CallerCall, end: CallEnd): void;
}

export interface GatewayGauges {
  readonly inProgress: () => number;
  readonly configurationVersion: () => number;
  readonly configurationAgeSeconds: () => number;
  readonly serverListAgeSeconds: () => number;
  /** Counts of servers, by service. */
  readonly servers: () => ReadonlyMap<string, ServerCounts>;
  /** Services of which this instance reaches no server. */
  readonly cutOffServices: () => readonly string[];
  /** Calls to the store since the start, by kind. */
  readonly storeCalls: () => Readonly<Record<string, number>>;
  /** Instances that receive changes of the store through this one. */
  readonly relayFollowers: () => number;
}

/** Creates the metrics in a new registry. */
export function createGatewayMetrics(gauges: GatewayGauges): GatewayMetrics {
  const registry = new Registry();
  const registers = [registry];
  const requests = new Counter({
    name: "rosemarypin_requests_total",
    help: "Requests that got their final answer, by kind and outcome",
    labelNames: ["kind", "outcome"] as const,
    registers,
  });
  const requestsOfOthers = new Counter({
    name: "rosemarypin_requests_of_others_total",
    help: "Requests that other instances handed off to this one",
    labelNames: ["kind", "outcome"] as const,
    registers,
  });
  const attempts = new Counter({
    name: "rosemarypin_attempts_total",
    help: "Requests sent to backend servers, repeats included",
    labelNames: ["kind"] as const,
    registers,
  });
  const firstByte = new Histogram({
    name: "rosemarypin_first_byte_seconds",
    help: "Time from the request's headers to the answer's first byte",
    labelNames: ["kind"] as const,
    buckets: SECONDS_BUCKETS,
    registers,
  });
  const duration = new Histogram({
    name: "rosemarypin_request_seconds",
    help: "Time from the request's headers to its end",
    labelNames: ["kind", "outcome"] as const,
    buckets: SECONDS_BUCKETS,
    registers,
  });
  const pause = new Histogram({
    name: "rosemarypin_longest_pause_seconds",
    help: "The longest time between two events of a stream",
    buckets: SECONDS_BUCKETS,
    registers,
  });
  addGauge("rosemarypin_in_flight", "Requests in progress", gauges.inProgress);
  addGauge(
    "rosemarypin_configuration_version",
    "Version of the configuration in force",
    gauges.configurationVersion,
  );
  addGauge(
    "rosemarypin_configuration_age_seconds",
    "Time since the store last answered about the configuration",
    gauges.configurationAgeSeconds,
  );
  addGauge(
    "rosemarypin_server_list_age_seconds",
    "Time since the store last answered about backend servers",
    gauges.serverListAgeSeconds,
  );
  addGauge(
    "rosemarypin_relay_followers",
    "Instances that receive changes of the store through this one",
    gauges.relayFollowers,
  );

  new Counter({
    name: "rosemarypin_store_calls_total",
    help: "Calls to the store, whatever their outcome",
    labelNames: ["call"] as const,
    registers,
    collect() {
      this.reset();
      for (const [call, count] of Object.entries(gauges.storeCalls()))
        this.inc({ call }, count);
    },
  });

  new Gauge({
    name: "rosemarypin_servers",
    help: "Backend servers in the list, and those avoided after failures",
    labelNames: ["service", "state"] as const,
    registers,
    collect() {
      this.reset();
      for (const [service, { listed, avoided }] of gauges.servers()) {
        this.set({ service, state: "listed" }, listed);
        this.set({ service, state: "avoided" }, avoided);
      }
    },
  });

  new Gauge({
    name: "rosemarypin_service_cut_off",
    help: "1 for each service of which no server accepts connections",
    labelNames: ["service"] as const,
    registers,
    collect() {
      this.reset();
      for (const service of gauges.cutOffServices()) this.set({ service }, 1);
    },
  });

  function addGauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name,
      help,
      registers,
      collect() {
        this.set(read());
      },
    });
  }

  return {
    registry,
    countEnd({ route, startedAt, handedOff }, end) {
      const { kind } = route;
      const { outcome, firstByteMs } = end;
      // The instance that handed it off counts it among its requests.
      if (handedOff) return requestsOfOthers.inc({ kind, outcome });
      requests.inc({ kind, outcome });
      attempts.inc({ kind }, end.attempts);
      if (firstByteMs !== null)
        firstByte.observe({ kind }, firstByteMs / 1_000);
      if (end.pace) pause.observe(end.pace.pauseMs / 1_000);
      const seconds = (performance.now() - startedAt) / 1_000;
      duration.observe({ kind, outcome }, seconds);
    },
  };
}

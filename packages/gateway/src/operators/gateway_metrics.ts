/** Prometheus metrics of one gateway. */
import { performance as runtime } from "node:perf_hooks";
import type { ClassLevel } from "@rosemarypin/admission";
import type { ClosedConnection } from "@rosemarypin/connections";
import type { RetryTotals } from "@rosemarypin/limits";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { ServerCounts } from "../backends/mod.ts";
import { type CallEnd, type CallerCall, priorityOf } from "../callers/mod.ts";
import { PROMPT_QUARANTINED } from "../prompts/mod.ts";
import type { AdmissionObserver } from "../streams/mod.ts";

const SECONDS_BUCKETS = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.83, 1.5, 3, 6, 15, 30,
];

const RETRY_DELAY_BUCKETS = [0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10];

export interface GatewayMetrics {
  readonly registry: Registry;
  countEnd(call: CallerCall, end: CallEnd): void;
  /** Counts a refusal before the request became a call. */
  countRefusal(refusal: { readonly retryAfterSeconds: number | null }): void;
  /** Counts a caller's connection that this instance has closed. */
  countClose(connection: ClosedConnection): void;
  /** Counts an engine that ended with answers in progress on it. */
  countEngineEnd(): void;
  /** Counts the decisions on requests that want capacity on engines. */
  readonly admissions: AdmissionObserver;
}

export interface GatewayGauges {
  readonly inProgress: () => number;
  /** Bytes that the bodies of requests in progress take. */
  readonly bodyBytes: () => number;
  /** Bytes that they may take in all. */
  readonly bodyBudgetBytes: () => number;
  /** Bytes that were received from callers and aren't parsed. */
  readonly unparsedBytes: () => number;
  /** Bytes that the objects of requests take, without bodies. */
  readonly requestBytes: () => number;
  /** Requests and connections that were given up for their memory. */
  readonly requestsGivenUp: () => number;
  /** Requests that wait for capacity on engines, by priority. */
  readonly waitingRequests: () => ReadonlyMap<number, number>;
  readonly configurationVersion: () => number;
  readonly configurationAgeSeconds: () => number;
  readonly serverListAgeSeconds: () => number;
  /** Counts of servers, by service. */
  readonly servers: () => ReadonlyMap<string, ServerCounts>;
  /** Services of which this instance reaches no server. */
  readonly cutOffServices: () => readonly string[];
  readonly quarantinedPromptParts: () => number;
  /** Levels of classes, by service. */
  readonly classLevels: () => ReadonlyMap<string, readonly ClassLevel[]>;
  /** Load limits and needs by failure domain; `null` where there is none. */
  readonly domains: () => ReadonlyMap<
    string,
    { readonly loadLimit: number | null; readonly needTokens: number | null }
  >;
  /** Calls to the store since the start, by kind. */
  readonly storeCalls: () => Readonly<Record<string, number>>;
  /** What was received and can't be used, since the start. */
  readonly unusableInputs: () => ReadonlyMap<string, number>;
  /** Errors that no code expects, since the start. */
  readonly unexpectedErrors: () => number;
  /** Retries since the start, by service. */
  readonly retries: () => ReadonlyMap<string, RetryTotals>;
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
  const returned = new Counter({
    name: "rosemarypin_returned_requests_total",
    help: "Requests of callers that returned after a refusal, by how they ended",
    labelNames: ["priority", "arrival", "outcome"] as const,
    registers,
  });
  const retryDelay = new Histogram({
    name: "rosemarypin_retry_delay_seconds",
    help: "Time after which refused callers were told to return",
    buckets: RETRY_DELAY_BUCKETS,
    registers,
  });
  const pause = new Histogram({
    name: "rosemarypin_longest_pause_seconds",
    help: "The longest time between two events of a stream",
    buckets: SECONDS_BUCKETS,
    registers,
  });
  const admitted = new Counter({
    name: "rosemarypin_admitted_total",
    help: "Requests that got capacity on engines",
    labelNames: ["priority", "arrival"] as const,
    registers,
  });
  const refused = new Counter({
    name: "rosemarypin_refused_total",
    help: "Requests that got no capacity on engines, by reason",
    labelNames: ["priority", "reason"] as const,
    registers,
  });
  const admissionWait = new Histogram({
    name: "rosemarypin_admission_wait_seconds",
    help: "Time that admitted requests waited for capacity on engines",
    labelNames: ["priority"] as const,
    buckets: SECONDS_BUCKETS,
    registers,
  });
  const closes = new Counter({
    name: "rosemarypin_caller_connections_closed_total",
    help: "Connections of callers that this instance closed, by cause and whether a request had no whole answer",
    labelNames: ["cause", "unanswered"] as const,
    registers,
  });
  const engineEnds = new Counter({
    name: "rosemarypin_engine_ends_total",
    help: "Engines that ended while answers of this instance were in progress",
    registers,
  });
  addGauge("rosemarypin_in_flight", "Requests in progress", gauges.inProgress);
  let measuredFrom = runtime.eventLoopUtilization();
  addGauge(
    "rosemarypin_event_loop_busy_ratio",
    "Share of the time since the last reading in which the event loop was busy",
    () => {
      const { utilization } = runtime.eventLoopUtilization(measuredFrom);
      measuredFrom = runtime.eventLoopUtilization();
      return utilization;
    },
  );
  addGauge(
    "rosemarypin_request_body_bytes",
    "Memory that the bodies of requests in progress take",
    gauges.bodyBytes,
  );
  addGauge(
    "rosemarypin_request_body_budget_bytes",
    "Memory that the bodies of requests in progress may take",
    gauges.bodyBudgetBytes,
  );
  addGauge(
    "rosemarypin_unparsed_bytes",
    "Memory that received bytes take until they are parsed",
    gauges.unparsedBytes,
  );
  addGauge(
    "rosemarypin_request_bytes",
    "Memory that the objects of requests in progress take, without bodies",
    gauges.requestBytes,
  );
  addGauge(
    "rosemarypin_requests_given_up",
    "Requests and connections given up since the start for their memory",
    gauges.requestsGivenUp,
  );
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

  addGauge(
    "rosemarypin_quarantined_prompt_parts",
    "Parts of prompts that end engines, and whose requests are refused",
    gauges.quarantinedPromptParts,
  );
  const quarantineRefusals = new Counter({
    name: "rosemarypin_quarantine_refusals_total",
    help: "Requests refused because a part of their prompts ends engines",
    registers,
  });

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

  new Counter({
    name: "rosemarypin_unusable_inputs_total",
    help: "Entries of servers and configurations that can't be used",
    labelNames: ["input"] as const,
    registers,
    collect() {
      this.reset();
      for (const [input, count] of gauges.unusableInputs())
        this.inc({ input }, count);
    },
  });

  new Counter({
    name: "rosemarypin_retries_total",
    help: "Retries taken from the fleet's limit, and refused as none was left",
    labelNames: ["service", "decision"] as const,
    registers,
    collect() {
      this.reset();
      for (const [service, { taken, refused }] of gauges.retries()) {
        this.inc({ service, decision: "taken" }, taken);
        this.inc({ service, decision: "refused" }, refused);
      }
    },
  });

  new Counter({
    name: "rosemarypin_unexpected_errors_total",
    help: "Errors that no code expects, in requests or anywhere else",
    registers,
    collect() {
      this.reset();
      this.inc(gauges.unexpectedErrors());
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
    name: "rosemarypin_waiting_requests",
    help: "Requests that wait for capacity on engines",
    labelNames: ["priority"] as const,
    registers,
    collect() {
      this.reset();
      for (const [priority, count] of gauges.waitingRequests())
        this.set({ priority }, count);
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

  new Gauge({
    name: "rosemarypin_class_load_limit",
    help: "Share of each engine's memory up to which requests of a class are admitted; the lowest of all models",
    labelNames: ["priority"] as const,
    registers,
    collect() {
      this.reset();
      for (const [priority, limit] of lowestLimits(gauges.classLevels()))
        this.set({ priority }, limit);
    },
  });
  addDomainGauge(
    "rosemarypin_domain_load_limit",
    "Load up to which this instance uses the engines of another domain",
    "loadLimit",
  );
  addDomainGauge(
    "rosemarypin_domain_need_tokens",
    "Tokens of answers that the callers of a failure domain need",
    "needTokens",
  );

  function addDomainGauge(
    name: string,
    help: string,
    value: "loadLimit" | "needTokens",
  ): void {
    new Gauge({
      name,
      help,
      labelNames: ["domain"] as const,
      registers,
      collect() {
        this.reset();
        for (const [domain, reading] of gauges.domains()) {
          const current = reading[value];
          if (current !== null) this.set({ domain }, current);
        }
      },
    });
  }

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
    countClose: ({ cause, isUnanswered }) =>
      closes.inc({ cause, unanswered: String(isUnanswered) }),
    countEngineEnd: () => engineEnds.inc(),
    countRefusal({ retryAfterSeconds }) {
      if (retryAfterSeconds !== null) retryDelay.observe(retryAfterSeconds);
    },
    admissions: {
      admitted(priority, arrival, waitedMs) {
        admitted.inc({ priority, arrival });
        admissionWait.observe({ priority }, waitedMs / 1_000);
      },
      refused: (priority, reason) => refused.inc({ priority, reason }),
    },
    countEnd(call, end) {
      const { route, startedAt, handedOff, arrival } = call;
      const { kind } = route;
      const { outcome, firstByteMs } = end;
      // The instance that handed it off counts it among its requests.
      if (handedOff) return requestsOfOthers.inc({ kind, outcome });
      requests.inc({ kind, outcome });
      if (end.reason === PROMPT_QUARANTINED) quarantineRefusals.inc();
      attempts.inc({ kind }, end.attempts);
      if (firstByteMs !== null)
        firstByte.observe({ kind }, firstByteMs / 1_000);
      if (end.pace) pause.observe(end.pace.pauseMs / 1_000);
      const seconds = (performance.now() - startedAt) / 1_000;
      duration.observe({ kind, outcome }, seconds);
      if (end.retryAfterSeconds !== undefined)
        retryDelay.observe(end.retryAfterSeconds);
      if (arrival === "first") return;
      returned.inc({ priority: priorityOf(call), arrival, outcome });
    },
  };
}

/** The lowest limit of each class over all services. */
function lowestLimits(
  levelsByService: ReadonlyMap<string, readonly ClassLevel[]>,
): ReadonlyMap<number, number> {
  const limits = new Map<number, number>();
  for (const levels of levelsByService.values()) {
    for (const { priority, loadLimit } of levels)
      limits.set(priority, Math.min(limits.get(priority) ?? 1, loadLimit));
  }
  return limits;
}

/** Admits requests, lets them wait in order, and grants pipelines. */
import type { EngineFleet } from "@rosemarypin/backends";
import type {
  AnswerRequest,
  Limits,
  ModelVersion,
  Stage,
} from "@rosemarypin/schemas";
import type { Metrics } from "@rosemarypin/telemetry";
import { choosePipeline } from "./pipeline_choice.ts";

const RETRY_CHECK_MS = 20;
const UNCOVERED_RETRY_SECONDS = 2;

/** The engines granted to one attempt. */
export interface Grant {
  readonly stages: readonly Stage[];
  /** Gives the engines back; more calls do nothing. */
  release(): void;
}

export type GrantResult =
  | { readonly kind: "granted"; readonly grant: Grant }
  | {
      readonly kind: "refused";
      readonly code: "queue_full" | "no_capacity" | "deadline";
      readonly retryAfterSeconds: number;
    };

export interface GrantRequest {
  readonly request: AnswerRequest;
  readonly version: ModelVersion;
  readonly avoid: ReadonlySet<string>;
  /** Engines that still have the answer's KV cache. */
  readonly prefer?: ReadonlySet<string>;
  readonly signal: AbortSignal;
}

/** Grants pipelines to answers. */
export interface Router {
  acquire(need: GrantRequest): Promise<GrantResult>;
}

export interface RouterOptions {
  readonly fleet: EngineFleet;
  readonly failureDomain: string;
  readonly limits: Limits;
  readonly metrics?: Metrics;
}

/** Creates the router of one instance. */
export function createRouter(options: RouterOptions): Router {
  const { fleet, limits, metrics } = options;
  let waiting = 0;

  function tryGrant(need: GrantRequest): GrantResult | "busy" {
    const choice = choosePipeline(fleet.engines(), {
      model: need.request.model,
      version: need.version,
      adapter: need.request.adapter,
      failureDomain: options.failureDomain,
      avoid: need.avoid,
      ...(need.prefer ? { prefer: need.prefer } : {}),
      answersPerEngine: limits.answersPerPipeline,
    });
    if (choice.kind === "busy") return "busy";
    if (choice.kind === "uncovered") {
      const retryAfterSeconds = UNCOVERED_RETRY_SECONDS;
      return { kind: "refused", code: "no_capacity", retryAfterSeconds };
    }
    const { stages } = choice;
    const release = fleet.occupy(stages.map(({ engine }) => engine));
    return { kind: "granted", grant: { stages, release } };
  }

  async function wait(need: GrantRequest): Promise<GrantResult> {
    while (Date.now() < need.request.deadlineAt && !need.signal.aborted) {
      await new Promise((resolve) => setTimeout(resolve, RETRY_CHECK_MS));
      const result = tryGrant(need);
      if (result !== "busy") return result;
    }
    return { kind: "refused", code: "deadline", retryAfterSeconds: 1 };
  }

  return {
    async acquire(need) {
      const result = tryGrant(need);
      if (result !== "busy") return result;
      if (waiting >= limits.queueLength) {
        return { kind: "refused", code: "queue_full", retryAfterSeconds: 1 };
      }
      waiting += 1;
      metrics?.queued.set(waiting);
      try {
        return await wait(need);
      } finally {
        waiting -= 1;
        metrics?.queued.set(waiting);
      }
    },
  };
}

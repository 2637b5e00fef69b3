/**
 * Hands requests off to other instances while this one reaches no server of
 * their service. The other instance handles such a request as one of its own
 * callers': it checks the key, chooses servers, and is bound by their limits.
 * Versions of the configuration that came after the request's don't concern it.
 */
import { formatAddress } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import type {
  BackendExchange,
  OpenAnswer,
  Reachability,
} from "../backends/mod.ts";
import {
  type CallerCall,
  decodeHandoffReport,
  encodeHandoffHeader,
  HANDOFF_HEADER,
  HANDOFF_REPORT_HEADER,
  NOT_RUN_STATUSES,
  timeLeftMs,
} from "../callers/mod.ts";
import { withoutConnectionHeaders } from "../connection_headers.ts";
import { readBody } from "../forwarding/mod.ts";
import type { RequestCodec } from "../protocol.ts";
import type {
  Helper,
  HelperFailure,
  HelperInstances,
  HelperUse,
} from "./helper_instances.ts";

/** Instances that are asked for one request, one after the other. */
const MAX_HELPERS = 4;
/**
 * Reasons of refusals that are final, since they come from servers, whose memory
 * and limits all instances share, or from all instances.
 */
const FINAL_REASON = /^(no_room|prompt_quarantined|refused_\d+)$/;
/** Reason of a refusal that a server gave. */
const SERVER_REFUSAL = /^refused_\d+$/;
/** Reasons that say why the other instance itself can't take a request over. */
const HELPER_FAILURES: ReadonlySet<string> = new Set<HelperFailure>([
  "cut_off",
  "stopping",
  "busy",
  "configuration_behind",
]);

const log = createLogger("handoff");

export type HandoffResult =
  /** An answer that a server gave, or a final answer of the other instance. */
  | { readonly kind: "answer"; readonly answer: OpenAnswer }
  /** The other instance refused the request; it did not and will not run. */
  | {
      readonly kind: "refused";
      readonly reason: string;
      readonly retryAfterSeconds: number | null;
    }
  /** No other instance can take the request over; it was not run. */
  | {
      readonly kind: "unavailable";
      /** When servers want requests again, as other instances say. */
      readonly retryAfterSeconds: number | null;
    }
  /** The request may have run; no answer arrived. */
  | { readonly kind: "broken"; readonly detail: string };

/** Whether a request that was handed off may have reached a server. */
export function hasReachedServer({
  kind,
  reason = "",
}: {
  readonly kind: string;
  readonly reason?: string;
}): boolean {
  if (kind === "refused") return SERVER_REFUSAL.test(reason);
  return kind !== "unavailable";
}

interface Declined {
  readonly kind: "declined";
  readonly failure: HelperFailure;
  readonly retryAfterSeconds: number | null;
}

export interface HandoffRequest {
  /** Whether the other instance takes a retry from its budget for the call. */
  readonly takesRetry: boolean;
  /** Event after which a stream continues; `null` for its beginning. */
  readonly lastEventId: string | null;
  /** Servers that may run the request. */
  readonly maxAttempts: number;
  /** Whether the request can be sent again after it may have run. */
  readonly isRepeatable: boolean;
  /**
   * Instances to which the call was handed off before; they are asked again only
   * if there is no other. Those that take it over are added.
   */
  readonly usedHelpers: Set<string>;
  /**
   * IDs of servers that have answered the call with errors, and are avoided.
   * Those that another instance reports are added.
   */
  readonly failedServers: Set<string>;
  /** Withdraws the request, beside the end of the call. */
  readonly signal?: AbortSignal;
}

export interface RequestHandoff {
  /**
   * Whether this instance reaches no server for the call, so that another one
   * is to be asked; waits for a check that is in progress. A request is handed
   * off only once, so that it can't pass between instances in a loop.
   */
  isNeeded(call: CallerCall): Promise<boolean>;
  /** Whether there is another instance that may take a call over. */
  hasHelper(): boolean;
  /** Sends the call to one other instance after another until one takes it. */
  send(call: CallerCall, request: HandoffRequest): Promise<HandoffResult>;
}

export interface RequestHandoffOptions {
  readonly instance: string;
  readonly helpers: HelperInstances;
  readonly reachability: Reachability;
  readonly exchange: BackendExchange;
  readonly codec: RequestCodec;
}

/**
 * Number of servers that another instance may use for a call that may use
 * `left`. One is kept for the time after that instance, if the call can be
 * repeated: how many it has used isn't known when it is lost.
 */
export function attemptsForHelper(left: number, isRepeatable: boolean): number {
  return Math.max(1, isRepeatable ? left - 1 : left);
}

/** Creates the hand-off of one instance. */
export function createRequestHandoff(
  options: RequestHandoffOptions,
): RequestHandoff {
  const { helpers, exchange, codec, reachability } = options;

  async function sendTo(
    helper: Helper,
    call: CallerCall,
    request: HandoffRequest,
  ): Promise<HandoffResult | Declined> {
    const lost = new AbortController();
    const use = helpers.use(helper, () => {
      // A request that may run only once is left to its deadline.
      const isGivenUp =
        request.isRepeatable && canFollow(helper, call, request);
      if (isGivenUp) lost.abort();
      return isGivenUp;
    });
    log.info("request_handed_off", {
      request: call.id,
      route: call.route.name,
      to: helper.instance,
      after_event: request.lastEventId ?? undefined,
      left_ms: timeLeftMs(call).toFixed(0),
    });
    const result = await exchange.send(
      { address: formatAddress(helper.address) },
      {
        method: call.method,
        path: call.path,
        headers: handoffHeaders(call, request),
        body: call.body,
      },
      {
        signal: AbortSignal.any([
          call.signal,
          lost.signal,
          ...(request.signal ? [request.signal] : []),
        ]),
        // An open connection may have become silent for good since its last
        // use, which the pings of the instance don't show.
        freshConnection: true,
      },
    );
    if (result.kind !== "answer") {
      use.end();
      if (result.kind === "not_sent") return declined("unreachable", null);
      return { kind: "broken", detail: `helper_${result.detail}` };
    }
    use.heard();
    const answer = trackedAnswer(takeReport(result, request), use);
    const metadata = codec.decodeAnswer(answer.status, answer.headers);
    if (metadata.isSigned || !NOT_RUN_STATUSES.has(answer.status))
      return { kind: "answer", answer };
    const reason = await readReason(answer);
    const { retryAfterSeconds } = metadata;
    if (FINAL_REASON.test(reason))
      return { kind: "refused", reason, retryAfterSeconds };
    return HELPER_FAILURES.has(reason)
      ? declined(reason as HelperFailure, null)
      : declined("not_able", retryAfterSeconds);
  }

  /**
   * Whether anything else can serve a call: this instance, or one that was not
   * asked yet. A silent instance that is sound goes on with its answer.
   */
  function canFollow(
    { instance }: Helper,
    { service }: CallerCall,
    { usedHelpers }: HandoffRequest,
  ): boolean {
    if (!reachability.isCutOff(service.name)) return true;
    return helpers.choose(new Set([...usedHelpers, instance])) !== null;
  }

  function handoffHeaders(call: CallerCall, request: HandoffRequest): string[] {
    const terms = encodeHandoffHeader({
      from: options.instance,
      configurationVersion: call.configurationVersion,
      acceptedForMs: performance.now() - call.startedAt,
      service: call.service.name,
      deadlineMs: Math.max(1, timeLeftMs(call)),
      maxAttempts: request.maxAttempts,
      lastEventId: request.lastEventId,
      takesRetry: request.takesRetry,
      failedServers: [...request.failedServers],
      arrival: {
        arrival: call.arrival,
        elapsedMs: performance.now() - call.firstAttemptAt,
      },
    });
    return [
      ...withoutConnectionHeaders(call.rawHeaders, OWN_HEADERS),
      HANDOFF_HEADER,
      terms,
    ];
  }

  return {
    isNeeded: async (call) =>
      call.handedOff === null &&
      (await reachability.settled(call.service.name)),
    hasHelper: () => helpers.choose(new Set()) !== null,
    async send(call, request) {
      const asked = new Set<string>();
      let soonestSeconds = Number.POSITIVE_INFINITY;
      const isWithdrawn = () =>
        call.signal.aborted || request.signal?.aborted === true;
      while (asked.size < MAX_HELPERS && !isWithdrawn()) {
        const { usedHelpers } = request;
        const helper =
          helpers.choose(new Set([...asked, ...usedHelpers])) ??
          helpers.choose(asked);
        if (!helper) break;
        asked.add(helper.instance);
        const result = await sendTo(helper, call, request);
        if (result.kind !== "declined") {
          usedHelpers.add(helper.instance);
          return result;
        }
        const { failure, retryAfterSeconds } = result;
        helpers.recordFailure(helper.instance, failure);
        soonestSeconds = Math.min(
          soonestSeconds,
          retryAfterSeconds ?? Infinity,
        );
        log.info("handoff_declined", {
          request: call.id,
          to: helper.instance,
          reason: failure,
        });
      }
      const isKnown = soonestSeconds < Number.POSITIVE_INFINITY;
      const retryAfterSeconds = isKnown ? soonestSeconds : null;
      return { kind: "unavailable", retryAfterSeconds };
    },
  };
}

function declined(
  failure: HelperFailure,
  retryAfterSeconds: number | null,
): Declined {
  return { kind: "declined", failure, retryAfterSeconds };
}

/** Headers that a caller may not set for another instance. */
const OWN_HEADERS: ReadonlySet<string> = new Set([HANDOFF_HEADER]);

/** Reads the report of the other instance, and removes it from the answer. */
function takeReport(
  answer: OpenAnswer,
  { failedServers }: HandoffRequest,
): OpenAnswer {
  const { [HANDOFF_REPORT_HEADER]: header, ...headers } = answer.headers;
  const report = decodeHandoffReport(header);
  for (const id of report?.failedServers ?? []) failedServers.add(id);
  return { ...answer, headers };
}

/** Ends the use of the helper with the answer. */
function trackedAnswer(answer: OpenAnswer, use: HelperUse): OpenAnswer {
  return {
    ...answer,
    body: trackBody(answer.body, use),
    abandon() {
      use.end();
      answer.abandon();
    },
  };
}

async function* trackBody(
  body: AsyncIterable<Buffer>,
  use: HelperUse,
): AsyncIterable<Buffer> {
  try {
    for await (const chunk of body) {
      use.heard();
      yield chunk;
    }
  } finally {
    use.end();
  }
}

/** Reads why another instance refused a request. */
async function readReason(answer: OpenAnswer): Promise<string> {
  try {
    const content = JSON.parse((await readBody(answer)).toString());
    return typeof content?.error === "string" ? content.error : "refused";
  } catch {
    // The status alone says that the request did not run.
    return "refused";
  }
}

/** Remembers callers' requests for a while, so that operators can ask. */
import type { CallFailure } from "@rosemarypin/calls";
import type { RequestRecord } from "@rosemarypin/schemas";

/**
 * Requests that are remembered, the latest; at the size that we design for
 * about 20 minutes of them.
 */
const LARGEST_MEMORY = 4_096;

/** What is known of a request when its work begins. */
export type RequestStart = Pick<
  RequestRecord,
  | "requestId"
  | "callerRequestId"
  | "kind"
  | "name"
  | "organisation"
  | "priority"
>;

/** What is learned of it later. */
export type RequestFacts = Partial<
  Omit<RequestRecord, keyof RequestStart | "instance" | "startedAt">
>;

/** One request that is being followed. */
export interface RememberedRequest {
  /** Adds what is known by now. */
  note(facts: RequestFacts): void;
  /** Adds how it ended, and when. */
  end(facts: RequestFacts & { readonly outcome: string }): void;
}

export interface RequestMemory {
  begin(start: RequestStart): RememberedRequest;
  /** What this instance knows of a request, oldest first. */
  find(requestId: string): readonly RequestRecord[];
}

/** Creates the memory of one instance; the oldest are forgotten first. */
export function createRequestMemory(options: {
  readonly instance: string;
  readonly size?: number;
}): RequestMemory {
  const { instance, size = LARGEST_MEMORY } = options;
  const records = new Map<number, RequestRecord>();
  let next = 0;

  return {
    begin(start) {
      const startedAt = Date.now();
      const beganAt = performance.now();
      const place = next++;
      records.delete(place - size);
      records.set(place, { ...start, instance, startedAt, outcome: "running" });
      function note(facts: RequestFacts): void {
        const record = records.get(place);
        if (record) records.set(place, { ...record, ...facts });
      }
      return {
        note,
        end(facts) {
          const durationMs = Math.round(performance.now() - beganAt);
          note({ durationMs, ...facts });
        },
      };
    },
    find: (requestId) =>
      [...records.values()].filter((record) => record.requestId === requestId),
  };
}

/** What of a failure is worth remembering. */
export function factsOfFailure(
  failure: CallFailure,
): RequestFacts & { readonly outcome: string } {
  const { outcome, code, message, retryAfterSeconds } = failure;
  return { outcome, code, message, retryAfterSeconds };
}

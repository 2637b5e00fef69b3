/**
 * Request limits and backoffs that other instances know of. An instance that
 * starts takes them over, since servers may be overloaded by what it sends
 * before their first answers to it.
 */
import type { PeerCaller, PeerMethods } from "@rosemarypin/membership";
import type { Address } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import { z } from "zod";
import type { BackendFleet } from "./backend_fleet.ts";
import type { Incarnation } from "./incarnation_map.ts";
import { MAX_BACKOFF_MS } from "./requested_backoffs.ts";

const RESTRICTIONS_METHOD = "servers.restrictions";
/** Short, because the first requests wait for the answers. */
const CALL_TIMEOUT_MS = 200;
/** Instances that are asked, those of the own failure domain first. */
const MAX_ASKED_INSTANCES = 3;
/** Bound on the servers that one answer may name. */
const MAX_SERVERS = 1_024;
const MAX_REQUESTS_PER_SECOND = 1_000_000;

const log = createLogger("backends");

const restrictionSchema = z.object({
  id: z.string(),
  startedAt: z.number(),
  /** Limit for all instances together; `null` without one. */
  requestsPerSecond: z.number().min(0).max(MAX_REQUESTS_PER_SECOND).nullable(),
  /** Milliseconds for which the server still wants no requests. */
  backoffMs: z.number().min(0).max(MAX_BACKOFF_MS),
});

/** Elements are decoded on their own: a malformed one costs only itself. */
const answerSchema = z.array(z.unknown()).max(MAX_SERVERS);

export type Restriction = z.infer<typeof restrictionSchema>;

/** Decodes an answer; `error` is that of the first part that is left out. */
export function decodeRestrictions(value: unknown): {
  readonly restrictions: Restriction[];
  readonly error: z.ZodError | null;
} {
  const answer = answerSchema.safeParse(value);
  if (!answer.success) return { restrictions: [], error: answer.error };
  const parsed = answer.data.map((element) =>
    restrictionSchema.safeParse(element),
  );
  return {
    restrictions: parsed.flatMap(({ data }) => data ?? []),
    error: parsed.find(({ success }) => !success)?.error ?? null,
  };
}

type RestrictedFleet = Pick<
  BackendFleet,
  "get" | "ids" | "limits" | "backoffs" | "onChanged"
>;

/** Creates the RPC method that tells peers what this instance keeps to. */
export function createRestrictionMethods(
  fleet: Pick<RestrictedFleet, "get" | "ids" | "limits" | "backoffs">,
): PeerMethods {
  return {
    [RESTRICTIONS_METHOD](): Restriction[] {
      const servers = [...fleet.ids()].flatMap((id) => fleet.get(id) ?? []);
      return servers
        .map((server) => ({
          id: server.id,
          startedAt: server.startedAt,
          requestsPerSecond: fleet.limits.limitOf(server),
          backoffMs: fleet.backoffs.remainingMs(server),
        }))
        .filter(
          ({ requestsPerSecond, backoffMs }) =>
            requestsPerSecond !== null || backoffMs > 0,
        )
        .slice(0, MAX_SERVERS);
    },
  };
}

export interface RestrictionCopyOptions {
  readonly fleet: RestrictedFleet;
  readonly failureDomain: string;
  /** Other instances that are live. */
  readonly others: readonly {
    readonly failureDomain: string;
    readonly peer: Address | null;
  }[];
  readonly caller: PeerCaller;
}

/**
 * Takes over what some of the others keep to. Resolves once they have answered
 * or failed to; what concerns servers that aren't listed yet applies as soon as
 * they are.
 */
export async function copyRestrictions({
  fleet,
  failureDomain,
  others,
  caller,
}: RestrictionCopyOptions): Promise<void> {
  const addresses = inRandomOrder(others)
    .sort((a, b) => Number(isDistant(a)) - Number(isDistant(b)))
    .flatMap(({ peer }) => peer ?? [])
    .slice(0, MAX_ASKED_INSTANCES);
  const answers = await Promise.all(addresses.map(ask));
  const pending = mergeRestrictions(answers.flat());
  fleet.onChanged(apply);
  for (const id of [...pending.keys()]) apply(id);

  function isDistant(other: { readonly failureDomain: string }): boolean {
    return other.failureDomain !== failureDomain;
  }

  async function ask(address: Address): Promise<Restriction[]> {
    const timeoutMs = CALL_TIMEOUT_MS;
    const response = await caller.call(address, RESTRICTIONS_METHOD, {
      timeoutMs,
    });
    // An instance of the version before doesn't know the method.
    if (response.kind !== "ok") return [];
    const { restrictions, error } = decodeRestrictions(response.value);
    if (error) {
      const reason = z.prettifyError(error);
      log.warn("restrictions_unreadable", { peer: address.host, reason });
    }
    return restrictions;
  }

  function apply(id: string): void {
    const restriction = pending.get(id);
    const server = fleet.get(id);
    if (!restriction || !server) return;
    // The list may not show the server's latest start yet.
    if (server.startedAt < restriction.startedAt) return;
    pending.delete(id);
    if (server.startedAt > restriction.startedAt) return;
    const { requestsPerSecond, backoffEndsAt } = restriction;
    // What the server itself has told this instance is newer.
    if (requestsPerSecond !== null && fleet.limits.limitOf(server) === null)
      fleet.limits.record(server, requestsPerSecond);
    const backoffMs = backoffEndsAt - performance.now();
    if (backoffMs > 0) fleet.backoffs.record(server, backoffMs / 1_000);
  }
}

interface PendingRestriction
  extends Incarnation,
    Pick<Restriction, "requestsPerSecond"> {
  /** By the monotonic clock. */
  readonly backoffEndsAt: number;
}

/** Of each server's latest start, the lowest limit and the longest backoff. */
function mergeRestrictions(
  restrictions: readonly Restriction[],
): Map<string, PendingRestriction> {
  const merged = new Map<string, PendingRestriction>();
  for (const { id, startedAt, requestsPerSecond, backoffMs } of restrictions) {
    const known = merged.get(id);
    if (known && known.startedAt > startedAt) continue;
    const same = known?.startedAt === startedAt ? known : null;
    const limits = [requestsPerSecond, same?.requestsPerSecond ?? null].filter(
      (limit) => limit !== null,
    );
    merged.set(id, {
      id,
      startedAt,
      requestsPerSecond: limits.length > 0 ? Math.min(...limits) : null,
      backoffEndsAt: Math.max(
        performance.now() + backoffMs,
        same?.backoffEndsAt ?? -Infinity,
      ),
    });
  }
  return merged;
}

function inRandomOrder<Element>(elements: readonly Element[]): Element[] {
  return elements
    .map((element) => ({ element, rank: Math.random() }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ element }) => element);
}

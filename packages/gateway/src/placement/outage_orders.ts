/**
 * Chooses the instance that may order the engines of its failure domain while
 * the store is away and no lease can be acquired. If each instance that misses
 * the store did, their plans would move layers against each other for ever.
 */
import type { PeerResult } from "@rosemarypin/membership";
import type { Address } from "@rosemarypin/schemas";
import type { DomainInstance, Presence } from "../following/mod.ts";

/** Method by which an instance says whether it holds its domain's lease. */
export const HOLDS_LEASE_METHOD = "placement.holdsLease";

/** Instances of a domain that may order without a lease, by name. */
const MAX_DEPUTIES = 3;
/** Interval at which a deputy asks the others. */
const CHECK_INTERVAL_MS = 500;
const CALL_TIMEOUT_MS = 300;
/** Time for which the answers count. */
const VALID_MS = 1_500;
/** Delay of a timeout that shows that this process was itself blocked. */
const PROCESS_STALL_MS = 100;

/** Calls a method of another instance. */
export type CallPeer = (
  address: Address,
  method: string,
  options: { readonly timeoutMs: number },
) => Promise<PeerResult>;

export interface OutageOrders {
  /**
   * Whether this instance is the one that orders its domain's engines. Starts
   * to ask the other instances, so the first calls may return `false`.
   */
  mayOrder(): boolean;
}

export interface OutageOrdersOptions {
  readonly instance: string;
  readonly presence: Pick<Presence, "liveDomainPeers" | "knowsOthers">;
  readonly callPeer: CallPeer;
}

/** Creates the choice for one instance. */
export function createOutageOrders({
  instance,
  presence,
  callPeer,
}: OutageOrdersOptions): OutageOrders {
  let isChosen = false;
  let isChecking = false;
  let checkedAt = -Infinity;

  async function check(): Promise<void> {
    const answers = await Promise.all(otherDeputies()?.map(yieldsToThis) ?? []);
    isChosen = answers.every(Boolean);
    checkedAt = performance.now();
    isChecking = false;
  }

  /** The other deputies; `null` if this instance is none. */
  function otherDeputies(): readonly DomainInstance[] | null {
    const others = presence.liveDomainPeers();
    const before = others.filter((other) => other.instance < instance);
    if (before.length >= MAX_DEPUTIES) return null;
    return [...others]
      .sort((a, b) => (a.instance < b.instance ? -1 : 1))
      .slice(0, MAX_DEPUTIES);
  }

  /**
   * Whether another deputy leaves the orders to this one: it has ended, or comes
   * later and holds no lease. One whose answer isn't known doesn't.
   */
  async function yieldsToThis(rival: DomainInstance): Promise<boolean> {
    const isLater = rival.instance > instance;
    if (!rival.peer) return isLater;
    const sentAt = performance.now();
    const timeoutMs = CALL_TIMEOUT_MS;
    const answer = await callPeer(rival.peer, HOLDS_LEASE_METHOD, {
      timeoutMs,
    });
    if (answer.kind === "ok") return isLater && answer.value !== true;
    // An instance of the version before doesn't know the method.
    if (answer.kind === "rejected") return isLater;
    return performance.now() - sentAt <= timeoutMs + PROCESS_STALL_MS;
  }

  return {
    mayOrder() {
      if (!presence.knowsOthers()) return false;
      const others = otherDeputies();
      if (others === null) return false;
      if (others.length === 0) return true;
      const now = performance.now();
      if (!isChecking && now - checkedAt >= CHECK_INTERVAL_MS) {
        isChecking = true;
        void check();
      }
      return isChosen && now - checkedAt < VALID_MS;
    },
  };
}

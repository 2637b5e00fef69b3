/**
 * This instance's own presence object: what it says, which object in the store
 * it takes the place of, and since when the others can know of it.
 */
import type { Address } from "@rosemarypin/schemas";
import type { ObjectStore, StoredObject } from "@rosemarypin/store";
import {
  FLEET_LISTING_MS,
  type FleetView,
  JOIN_MS,
  MAX_LIST_LAG_MS,
  MAX_RENEWAL_AGE_MS,
} from "./fleet_share.ts";
import { createGreatestCount } from "./greatest_count.ts";
import { type PresenceObject, presenceSchema } from "./presence_table.ts";

/** A failed renewal is repeated after half of this to all of it. */
const RENEWAL_RETRY_MS = 4_000;
/** Renewals that are remembered, to find them in lists. */
const SHOWN_RENEWALS = 30;
/** Instances whose starts differ by less may be those of a fleet that starts. */
const FLEET_START_SPREAD_MS = 3_000;
/** Time in which such an instance stores its entry. */
const FLEET_ENTRY_MS = 2_000;
/**
 * How long an instance that no longer renews its entry, or whose entry another
 * writer has removed, may use its part of an allowance and have it counted.
 */
const COUNT_HOLD_MS = 60_000;

export interface OwnEntry {
  /** Stores the object as it is now; what failed is due again soon. */
  write(): Promise<void>;
  /** When the latest renewal was begun. */
  renewedAt(): number;
  /** Delay before a failed renewal is repeated; `null` if it succeeded. */
  retryMs(): number | null;
  /** Whether something has changed that the object doesn't say yet. */
  hasNews(): boolean;
  /** Sets whether model engines are reached; returns whether that is new. */
  setReachesEngines(value: boolean): boolean;
  /** Announces that this instance is about to stop. */
  leave(): Promise<void>;
  /** Takes in the others of the first list. */
  meet(others: readonly PresenceObject[]): void;
  /** Takes in how many instances there are, this one included. */
  count(instances: number): void;
  /** Takes in what a list of the store says of this instance. */
  findIn(
    own: StoredObject | undefined,
    list: { readonly isFirst: boolean; readonly requestedAt: number },
  ): void;
  /** Records that the list was as it is known here at a time, or later. */
  knowListAt(at: number): void;
  /** The most instances lately. */
  countedInstances(): number;
  /** What decides on this instance's part of fleet-wide allowances. */
  standing(): Omit<FleetView, "count">;
}

/** Creates the entry of a process that starts now; nothing is stored yet. */
export function createOwnEntry(options: {
  readonly store: ObjectStore;
  readonly key: string;
  readonly failureDomain: string;
  readonly peer: Address | null;
  readonly ability: number | undefined;
}): OwnEntry {
  const { store, key, failureDomain, peer, ability } = options;
  const startedAt = Date.now();
  const startedAtMs = performance.now();
  const counted = createGreatestCount(COUNT_HOLD_MS);
  let renewal = 0;
  let version: number | null = null;
  let isLeaving = false;
  let reachesEngines = true;
  let announcedReachesEngines = true;
  let renewedAt = -Infinity;
  /** When the latest renewal that succeeded was begun. */
  let storedAt = -Infinity;
  let listedSince = Infinity;
  let startedWithAll = false;
  /** The latest renewals, the last one at the end. */
  let renewals: { readonly version: number; readonly begunAt: number }[] = [];
  /** When the list was as it is known here, or later. */
  let knownAt = -Infinity;
  /**
   * The object of this instance's earlier process that the first renewal takes
   * the place of.
   */
  let predecessor: PresenceObject | null = null;
  /** Delay before a failed renewal is repeated; `null` if it succeeded. */
  let retryMs: number | null = null;

  async function write(): Promise<void> {
    renewedAt = performance.now();
    announcedReachesEngines = reachesEngines;
    // An earlier process wrote the object, or a response was lost: the second
    // attempt continues from the actual version.
    const isWritten = (await tryWrite()) || (await tryWrite());
    retryMs = isWritten ? null : RENEWAL_RETRY_MS * (0.5 + Math.random() / 2);
    if (isWritten) recordRenewal(renewedAt);
  }

  function recordRenewal(begunAt: number): void {
    const isFirst = storedAt === -Infinity;
    if (isFirst && isEstablished()) listedSince = -Infinity;
    else if (isFirst || begunAt - storedAt > MAX_RENEWAL_AGE_MS) {
      listedSince = performance.now();
      startedWithAll &&= isFirst && listedSince - startedAtMs < FLEET_ENTRY_MS;
    }
    storedAt = begunAt;
  }

  /**
   * Takes in which object the next renewal is to take the place of. A list may
   * be old, and another process may have renewed since; the store's condition on
   * the write tells.
   */
  function expectToReplace(own: StoredObject | null): void {
    version = own?.version ?? null;
    const parsed = presenceSchema.safeParse(own?.value).data ?? null;
    // A renewal of this process whose reply was lost.
    if (storedAt > -Infinity || parsed?.startedAt === startedAt) return;
    predecessor = parsed;
    if (parsed?.countedInstances) counted.observe(parsed.countedInstances);
  }

  /** One that restarted has a new process as well, and divides without others. */
  function isOfStartingFleet(other: PresenceObject): boolean {
    const { ranForMs = FLEET_START_SPREAD_MS, isEstablished = false } = other;
    const apartMs = Math.abs(other.startedAt - startedAt);
    const isNew = Math.max(apartMs, ranForMs) < FLEET_START_SPREAD_MS;
    return isNew && !isEstablished;
  }

  /**
   * When the latest renewal was begun that a list shows: a list of the store may
   * be old, and is no older than what it shows.
   */
  function shownIn(own: StoredObject | undefined): number {
    const shown = renewals.filter(
      ({ version }) => version <= (own?.version ?? -Infinity),
    );
    return shown.at(-1)?.begunAt ?? -Infinity;
  }

  /** Resolves to `false` if the object was at another version. */
  async function tryWrite(): Promise<boolean> {
    renewal += 1;
    const value: PresenceObject = {
      failureDomain,
      startedAt,
      renewal,
      peer,
      leaving: isLeaving,
      reachesEngines,
      isEstablished: isEstablished(),
      ranForMs: performance.now() - startedAtMs,
      countedInstances: counted.value(),
      ...(ability === undefined ? {} : { ability }),
    };
    const result = await store.write(key, value, {
      expectedVersion: version,
    });
    if (result.kind === "conflict") expectToReplace(result.actual);
    if (result.kind === "ok") {
      version = result.value;
      renewals = [...renewals, { version, begunAt: renewedAt }].slice(
        -SHOWN_RENEWALS,
      );
    }
    return result.kind === "ok";
  }

  /**
   * Whether each other instance counts this one, and this one has seen those that
   * started with it. The process after it takes that over.
   */
  function isEstablished(): boolean {
    if (storedAt === -Infinity) return predecessor?.isEstablished === true;
    if (performance.now() - listedSince >= JOIN_MS) return true;
    return startedWithAll && knownAt - listedSince >= FLEET_LISTING_MS;
  }

  return {
    write,
    renewedAt: () => renewedAt,
    retryMs: () => retryMs,
    hasNews: () => announcedReachesEngines !== reachesEngines,
    setReachesEngines(value) {
      const isNew = value !== reachesEngines;
      reachesEngines = value;
      return isNew;
    },
    leave() {
      isLeaving = true;
      return write();
    },
    meet(others) {
      startedWithAll = others.every(isOfStartingFleet);
    },
    count: (instances) => counted.observe(instances),
    findIn(own, { isFirst, requestedAt }) {
      const shownAt = isFirst ? requestedAt - MAX_LIST_LAG_MS : shownIn(own);
      knownAt = Math.max(knownAt, shownAt);
      if (version === null && own) expectToReplace(own);
    },
    knowListAt(at) {
      knownAt = Math.max(knownAt, at);
    },
    countedInstances: counted.value,
    standing: () => ({
      knownAt,
      listedSince,
      startedWithAll,
      predecessorRanForMs: predecessor && (predecessor.ranForMs ?? 0),
      renewedAt: storedAt,
    }),
  };
}

/**
 * Heartbeats of instances through the store: each instance renews an object of
 * its own and treats others as live while their objects keep changing. Relays
 * read the objects for the instances that follow them.
 */
import type { Address } from "@rosemarypin/schemas";
import type { ObjectStore } from "@rosemarypin/store";
import { createLogger } from "@rosemarypin/telemetry";
import { createInterruptibleTimer } from "@rosemarypin/timing";
import { z } from "zod";
import { type FleetView, MAX_LIST_LAG_MS } from "./fleet_share.ts";
import { createLiveInstances, type LiveInstances } from "./live_instances.ts";
import { createOccasionalWarning } from "./occasional_log.ts";
import { createOwnEntry } from "./own_entry.ts";
import {
  createPresenceTable,
  type ObservedPresence,
  PRESENCE_PREFIX,
} from "./presence_table.ts";
import {
  createPresenceTiming,
  type FollowingState,
  READ_SPREAD_MS,
} from "./presence_timing.ts";
import { MIN_INSTANCES_FOR_RELAYS } from "./relay_choice.ts";
import { relayedPresenceSchema } from "./relay_protocol.ts";
import { createPresenceList, type PresenceList } from "./relayed_presence.ts";

/** Objects without a renewal for this time are removed from the store. */
const CLEANUP_AFTER_MS = 60_000;

const log = createLogger("presence");
const warnUnreadable = createOccasionalWarning(log, "presence_unreadable");

export interface Presence extends LiveInstances {
  /** What decides on this instance's part of fleet-wide allowances. */
  fleetView(): FleetView;
  /**
   * Whether the store or a relay has listed the others, when those that started
   * together with this instance had announced themselves.
   */
  knowsOthers(): boolean;
  /** Resolves to whether the store answers a small read in time. */
  probeStore(timeoutMs: number): Promise<boolean>;
  /** Announces whether this instance reaches model engines. */
  setReachesEngines(reachesEngines: boolean): void;
  /** Announces that this instance is about to stop. */
  leave(): Promise<void>;
  /** Resolves once other instances are known, or the store fails to list them. */
  readonly started: Promise<void>;
  /** When the latest list that the store answered was requested. */
  lastListedAt(): number;
  /** The list for instances that follow this one. */
  readonly list: PresenceList;
  /** Records a call of an instance that follows this one. */
  recordFollower(instance: string): void;
  /** Sets whether a relay keeps this instance up to date. */
  setFollowing(state: FollowingState): void;
  /** Applies a relay's list; returns its version, or `null` if malformed. */
  applyRelayed(value: unknown): number | null;
}

/** Starts to renew this instance's object and to read those of others. */
export function startPresence(options: {
  readonly store: ObjectStore;
  readonly instance: string;
  readonly failureDomain: string;
  readonly peer: Address | null;
  /** Relative processor share, 0 to 1,000; absent if it is unknown. */
  readonly ability?: number;
  readonly signal: AbortSignal;
}): Presence {
  const { store, instance, failureDomain, peer, ability, signal } = options;
  const ownKey = `${PRESENCE_PREFIX}${instance}`;
  const table = createPresenceTable(ownKey);
  const list = createPresenceList(table);
  const live = createLiveInstances(table, { key: ownKey, failureDomain });
  const timing = createPresenceTiming(table);
  const own = { key: ownKey, failureDomain, peer, ability };
  const entry = createOwnEntry({ store, ...own });
  let lastListAttemptAt = -Infinity;
  let lastListedAt = -Infinity;
  let hasListFailed = false;
  let knowsOthers = false;
  const renewalTimer = createInterruptibleTimer();
  const listTimer = createInterruptibleTimer();
  const started = start();

  /**
   * Reads the others before it writes, so that an instance that restarts knows
   * its relays at once. Where the first list shows too little of the domain for
   * relays, all its instances may be starting: they write, and list again. There
   * is no wait in between, as a small deployment would start later for it.
   */
  async function start(): Promise<void> {
    await readOthers();
    if (table.hasRead() && mayBeStartingDomain()) {
      knowsOthers = false;
      await entry.write();
      await readOthers();
    }
    void renewRepeatedly();
    void listRepeatedly();
  }

  function mayBeStartingDomain(): boolean {
    if (!peer) return false;
    const known = table
      .entries()
      .filter(({ presence }) => presence.failureDomain === failureDomain);
    const running = known.filter(({ presence }) => !presence.leaving);
    if (running.length + 1 >= MIN_INSTANCES_FOR_RELAYS) return false;
    return known.length === 0 || known.length + 1 >= MIN_INSTANCES_FOR_RELAYS;
  }

  /** Renews the object; what has changed is announced at once. */
  async function renewRepeatedly(): Promise<void> {
    while (!signal.aborted) {
      const intervalMs = timing.renewalIntervalMs(entry.retryMs());
      const dueMs = entry.renewedAt() + intervalMs - performance.now();
      if (dueMs > 0 && !entry.hasNews()) await renewalTimer.wait(dueMs, signal);
      else await entry.write();
    }
  }

  /** Lists others, unless a relay passes on what it has listed. */
  async function listRepeatedly(): Promise<void> {
    while (!signal.aborted) {
      const dueAt = lastListAttemptAt + timing.listIntervalMs();
      const dueMs = dueAt - performance.now();
      if (dueMs > 0) await listTimer.wait(dueMs, signal);
      else await readOthers();
    }
  }

  function countInstances(): void {
    entry.count(table.countListed() + 1);
  }

  async function readOthers(): Promise<void> {
    lastListAttemptAt = performance.now();
    const requestedAt = lastListAttemptAt;
    const result = await store.list(PRESENCE_PREFIX, { mayBeStale: true });
    if (result.kind !== "ok") {
      hasListFailed = true;
      return;
    }
    const isFirst = lastListedAt === -Infinity;
    lastListedAt = requestedAt;
    knowsOthers = true;
    table.applyList(result.value, { isRecovery: hasListFailed });
    if (isFirst) entry.meet(table.entries().map(({ presence }) => presence));
    hasListFailed = false;
    countInstances();
    const own = result.value.find(({ key }) => key === ownKey);
    entry.findIn(own, { isFirst, requestedAt });
    list.update(own);
    for (const observed of table.entries()) await cleanUp(observed);
  }

  async function cleanUp(observed: ObservedPresence): Promise<void> {
    const { key, version, lastChangedAt } = observed;
    if (table.lastReadAt() - lastChangedAt <= CLEANUP_AFTER_MS) return;
    await store.remove(key, { expectedVersion: version });
    table.remove(key);
    log.info("instance_forgotten", { key });
  }

  return {
    ...live,
    fleetView: () => ({
      count: table.hasRead() ? entry.countedInstances() : null,
      ...entry.standing(),
    }),
    knowsOthers: () => knowsOthers,
    async probeStore(timeoutMs) {
      const options = { mayBeStale: true, timeoutMs };
      return (await store.read(ownKey, options)).kind === "ok";
    },
    setReachesEngines(value) {
      if (entry.setReachesEngines(value)) renewalTimer.interrupt();
    },
    leave: entry.leave,
    started,
    lastListedAt: () => lastListedAt,
    list,
    recordFollower(follower) {
      const isFirst = timing.recordFollower();
      table.recordCall(follower);
      if (isFirst) listTimer.interrupt();
    },
    setFollowing(state) {
      if (state === "changes_and_presence") {
        table.confirm();
        entry.knowListAt(performance.now() - MAX_LIST_LAG_MS);
      }
      const previous = timing.follow(state);
      if (state === previous) return;
      // Without a relay, the list is read again, unless another one is followed
      // meanwhile.
      if (previous === "changes_and_presence" && state === "none") {
        lastListAttemptAt =
          performance.now() -
          table.renewalIntervalMs() +
          Math.random() * READ_SPREAD_MS;
      }
      renewalTimer.interrupt();
      listTimer.interrupt();
    },
    applyRelayed(value) {
      const parsed = relayedPresenceSchema.safeParse(value);
      if (!parsed.success) {
        warnUnreadable({ reason: z.prettifyError(parsed.error) });
        return null;
      }
      table.applyRelayed(parsed.data);
      countInstances();
      knowsOthers = true;
      return parsed.data.version;
    },
  };
}

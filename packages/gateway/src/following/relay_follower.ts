/**
 * Follows the store through a relay: an instance that reads the store itself
 * and passes its own copy on. Where the relay is silent, or has not heard of
 * the store lately, the follower turns to the store.
 */
import type { PeerCaller } from "@rosemarypin/membership";
import { type Address, formatAddress } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";
import type { ChangePosition } from "./change_log.ts";
import type { ObjectMirror, RelayFollower } from "./object_mirror.ts";
import {
  FOLLOW_METHOD,
  HOLD_MS,
  newsSchema,
  type RelayNews,
} from "./relay_protocol.ts";

/** Beyond the hold, for the way and a busy relay. */
const MARGIN_MS = 250;
/**
 * A relay that has not heard of the store for so long is passed over. With the
 * hold before it is noticed, news is at most 1.6 s old then, and the store is
 * asked at once.
 */
const MOST_AGE_MS = 1_000;
/** Pause before the next relay is tried, doubled with each that failed. */
const FIRST_PAUSE_MS = 1_000;
const LONGEST_PAUSE_MS = 16_000;
/** How often an instance without a relay looks whether there is one. */
const LOOK_EVERY_MS = 500;

const log = createLogger("peers");

export interface RelayFollowerOptions {
  readonly mirrors: () => readonly ObjectMirror[];
  readonly caller: PeerCaller;
  /** Relays to follow, the preferred one first; none for a relay itself. */
  readonly relays: () => readonly Address[];
  readonly signal: AbortSignal;
}

/** Starts to follow relays where there are some; ends with the signal. */
export function startRelayFollower(
  options: RelayFollowerOptions,
): RelayFollower {
  const { mirrors, caller, relays, signal } = options;
  let following = false;
  let failures = 0;
  const listeners = new Set<() => void>();
  void run();

  async function run(): Promise<void> {
    while (!signal.aborted) {
      const choices = relays();
      const relay = choices[failures % Math.max(1, choices.length)];
      if (!relay) {
        stop();
        await pause(LOOK_EVERY_MS, signal);
        continue;
      }
      const reason = await follow(relay);
      stop();
      if (signal.aborted) return;
      log.info("relay_passed_over", { peer: relay.host, reason });
      await pause(pauseMs(), signal);
      failures += 1;
    }
  }

  function pauseMs(): number {
    const wholeMs = FIRST_PAUSE_MS * 2 ** Math.min(failures, 4);
    return Math.min(LONGEST_PAUSE_MS, wholeMs) * (0.5 + Math.random() / 2);
  }

  function stop(): void {
    following = false;
    for (const listener of [...listeners]) listener();
  }

  /** Follows one relay for as long as it is of use; gives the reason why not. */
  async function follow(relay: Address): Promise<string> {
    const positions = new Map<string, ChangePosition>();
    while (!signal.aborted && isChosen(relay)) {
      const news = await ask(relay, positions);
      if (typeof news === "string") return news;
      if (news.ageMs > MOST_AGE_MS) return "store_not_heard_of";
      for (const changes of news.changes) {
        positions.set(changes.prefix, changes.position);
        mirrors()
          .find(({ prefix }) => prefix === changes.prefix)
          ?.takeFromRelay(changes, news.ageMs);
      }
      const isKnown = mirrors().every(({ prefix }) => positions.has(prefix));
      if (!isKnown) return "prefix_unknown";
      if (!following) log.info("relay_followed", { peer: relay.host });
      following = true;
      failures = 0;
    }
    return "no_relay_any_more";
  }

  function isChosen(relay: Address): boolean {
    return relays().map(formatAddress).includes(formatAddress(relay));
  }

  async function ask(
    relay: Address,
    known: ReadonlyMap<string, ChangePosition>,
  ): Promise<RelayNews | string> {
    const holdMs = known.size === 0 ? 0 : HOLD_MS;
    const positions = mirrors().map(({ prefix }) => ({
      prefix,
      position: known.get(prefix) ?? null,
    }));
    const answer = await caller.call(relay, FOLLOW_METHOD, {
      params: { holdMs, positions },
      timeoutMs: holdMs + MARGIN_MS,
    });
    if (answer.kind !== "ok") return answer.kind;
    const news = newsSchema.safeParse(answer.value);
    return news.success ? news.data : "unreadable";
  }

  return {
    isFollowing: () => following,
    onEnded(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}

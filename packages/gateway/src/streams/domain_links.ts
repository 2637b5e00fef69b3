/**
 * Tracks how long the links between failure domains are busy with what this
 * instance sent over them. All pipelines share a link, and it passes activations
 * on one after the other: once prompts arrive faster than it passes them, every
 * answer on it waits behind all of them, those of callers that have left as well.
 */

/**
 * Share of a link that the prompts of all instances use together. The rest is
 * for the tokens that are generated.
 */
const USABLE_SHARE = 0.7;
/** Backlog of a link, in the share of one instance, up to which it is used. */
const MAX_BACKLOG_MS = 250;
/** Times to the first event of answers on links without and with a queue. */
const TIMELY_FIRST_EVENT_MS = 250;
const LATE_FIRST_EVENT_MS = 500;
const SHARE_GROWTH = 1.25;
const SHARE_CUT = 0.6;
const MIN_SHARES = 0.5;
/** Answers that were sent together begin together, and change a share once. */
const MIN_GROWTH_INTERVAL_MS = 500;
const MIN_CUT_INTERVAL_MS = 300;
/** Time without a change after which a share that was cut grows by itself. */
const RECOVERY_INTERVAL_MS = 1_000;
/** Answers that can't wait are sent whatever the backlog; it counts up to this. */
const MAX_COUNTED_BACKLOG_MS = 4_000;

/** Two failure domains between which activations pass. */
export type DomainPair = readonly [string, string];

export interface DomainLinks {
  /** Counts activations that take so long on the link. */
  send(pair: DomainPair, ms: number): void;
  /** Records the time to the first event, or to an end without one. */
  observeFirstEvent(pair: DomainPair, ms: number): void;
  /** Time after which the share of this instance is free again. */
  backlogMs(pair: DomainPair): number;
  /** Whether new answers may use the link. */
  isFree(pair: DomainPair): boolean;
}

interface LinkState {
  freeAt: number;
  /** What this instance may use, in equal shares of all instances. */
  shares: number;
  grownAt: number;
  cutAt: number;
  /** When a share that was cut last grew by itself. */
  recoveredAt: number;
}

/**
 * Creates links without traffic. Each of `countInstances` may use an equal part
 * of a link. It takes more while its answers on the link begin in time, since
 * others may not use theirs, and less once they begin late.
 */
export function createDomainLinks(countInstances: () => number): DomainLinks {
  const states = new Map<string, LinkState>();

  function stateOf([domain, other]: DomainPair): LinkState {
    const key = domain < other ? `${domain} ${other}` : `${other} ${domain}`;
    const known = states.get(key);
    if (known) return known;
    const created = {
      freeAt: 0,
      shares: 1,
      grownAt: Number.NEGATIVE_INFINITY,
      cutAt: Number.NEGATIVE_INFINITY,
      recoveredAt: performance.now(),
    };
    states.set(key, created);
    return created;
  }

  /**
   * Lets a share that was cut grow to its equal part with time. It grows with
   * timely answers otherwise, and a backlog may keep answers off the link.
   */
  function recoverShare(state: LinkState): void {
    const now = performance.now();
    const since = Math.max(state.recoveredAt, state.cutAt);
    const steps = Math.floor((now - since) / RECOVERY_INTERVAL_MS);
    if (steps <= 0) return;
    state.recoveredAt = since + steps * RECOVERY_INTERVAL_MS;
    if (state.shares < 1)
      state.shares = Math.min(1, state.shares * SHARE_GROWTH ** steps);
  }

  function backlogMs(pair: DomainPair): number {
    return Math.max(0, stateOf(pair).freeAt - performance.now());
  }

  return {
    send(pair, ms) {
      const state = stateOf(pair);
      recoverShare(state);
      const share = state.shares / Math.max(1, countInstances());
      const busyMs = ms / (USABLE_SHARE * Math.min(1, share));
      const queuedMs = backlogMs(pair) + busyMs;
      state.freeAt =
        performance.now() + Math.min(MAX_COUNTED_BACKLOG_MS, queuedMs);
    },
    observeFirstEvent(pair, ms) {
      const state = stateOf(pair);
      const now = performance.now();
      recoverShare(state);
      if (
        ms <= TIMELY_FIRST_EVENT_MS &&
        now - state.grownAt >= MIN_GROWTH_INTERVAL_MS
      ) {
        const most = Math.max(1, countInstances());
        state.grownAt = now;
        state.shares = Math.min(most, state.shares * SHARE_GROWTH);
      }
      if (
        ms >= LATE_FIRST_EVENT_MS &&
        now - state.cutAt >= MIN_CUT_INTERVAL_MS
      ) {
        state.cutAt = now;
        state.shares = Math.max(MIN_SHARES, state.shares * SHARE_CUT);
      }
    },
    backlogMs,
    isFree: (pair) => backlogMs(pair) <= MAX_BACKLOG_MS,
  };
}

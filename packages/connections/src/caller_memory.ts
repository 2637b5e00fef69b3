/**
 * Accounts of the memory that callers' requests take in a process. Beyond the
 * limit of one, holders are given up that hold most and progress least, so that
 * a crowd which stalls doesn't shut out callers that go on.
 */
import { getHeapStatistics } from "node:v8";
import { createLogger } from "@rosemarypin/telemetry";

const SMALL_BYTES = 16_384;
/** Time for which room is waited for. */
const WAIT_MS = 500;
/** Without progress for this time, a holder may be given up. */
const STALL_MS = 1_000;
const LOG_EVERY_MS = 1_000;

/** What one holder takes of the account. */
export interface MemoryShare {
  /** Takes room for further bytes; `false` if there is none at present. */
  tryTake(bytes: number): boolean;
  /** Resolves to whether room for further bytes came in time. */
  waitFor(bytes: number): Promise<boolean>;
  /** Sets the bytes that are held anyway, whatever the limit. */
  hold(bytes: number): void;
  /** Records that what it waits for has gone on. */
  progress(): void;
  /**
   * Sets what ends the holder when its memory is needed; without it, the holder
   * is never given up.
   */
  onGiveUp(end: (() => void) | null): void;
  /** Gives everything back, and ends a wait. */
  release(): void;
}

export interface CallerMemory {
  readonly limitBytes: number;
  heldBytes(): number;
  /** Holders that were given up so far. */
  givenUp(): number;
  open(): MemoryShare;
}

/** Accounts of one process. */
export interface CallerMemories {
  /** Bodies, with the overhead of their buffers. */
  readonly bodies: CallerMemory;
  /** What was received and isn't parsed, with what sockets buffer then. */
  readonly unparsed: CallerMemory;
  /** Objects of requests that wait or are answered, in the heap. */
  readonly requests: CallerMemory;
}

interface Waiter {
  readonly bytes: number;
  readonly settle: (hasRoom: boolean) => void;
}

interface Holder {
  bytes: number;
  progressAt: number;
  waiter: Waiter | null;
  giveUp: (() => void) | null;
}

const log = createLogger("callers");

/** Share of the heap's limit that the objects of requests may take. */
const HEAP_SHARE = 1 / 4;

/** Memory for what isn't parsed, relative to that for bodies. */
const UNPARSED_SHARE = 1 / 2;

/** Creates the accounts of a process; only `requests` are in its heap. */
export function createCallerMemories({
  bodyBudgetBytes,
  requestBudgetBytes = Number.POSITIVE_INFINITY,
}: {
  readonly bodyBudgetBytes: number;
  readonly requestBudgetBytes?: number;
}): CallerMemories {
  const heapBytes = getHeapStatistics().heap_size_limit * HEAP_SHARE;
  return {
    bodies: createCallerMemory(bodyBudgetBytes),
    unparsed: createCallerMemory(bodyBudgetBytes * UNPARSED_SHARE),
    requests: createCallerMemory(Math.min(heapBytes, requestBudgetBytes)),
  };
}

/** Creates an account; those who wait get room in turn. */
export function createCallerMemory(
  limitBytes: number,
  {
    smallBytes = SMALL_BYTES,
  }: {
    /** A share of up to this size never waits; a socket buffers as much. */
    readonly smallBytes?: number;
  } = {},
): CallerMemory {
  const holders = new Set<Holder>();
  const waiting = new Set<Waiter>();
  let heldBytes = 0;
  let givenUp = 0;
  let givenUpUnlogged = 0;
  let loggedAt = -Infinity;

  /** More than the whole limit is taken while nothing else is held. */
  function fits(bytes: number): boolean {
    return heldBytes === 0 || heldBytes + bytes <= limitBytes;
  }

  function admitWaiters(): void {
    for (const waiter of waiting) {
      if (!fits(waiter.bytes)) return;
      waiter.settle(true);
    }
  }

  function change(holder: Holder, bytes: number): void {
    holder.bytes += bytes;
    heldBytes += bytes;
    if (holder.bytes > 0) holders.add(holder);
    else holders.delete(holder);
  }

  /** Gives up stalled holders until further bytes fit. */
  function makeRoom(bytes: number, asking: Holder): void {
    while (!fits(bytes)) {
      const worst = findWorst(asking);
      if (!worst) return;
      const { giveUp } = worst;
      worst.giveUp = null;
      change(worst, -worst.bytes);
      giveUp?.();
      countGivenUp();
    }
  }

  function findWorst(asking: Holder): Holder | null {
    const now = performance.now();
    let worst: Holder | null = null;
    let worstScore = 0;
    for (const holder of holders) {
      const stalledMs = now - holder.progressAt;
      const isStalled = stalledMs >= STALL_MS && !holder.waiter;
      if (!isStalled || !holder.giveUp || holder === asking) continue;
      const score = holder.bytes * stalledMs;
      if (score <= worstScore) continue;
      worst = holder;
      worstScore = score;
    }
    return worst;
  }

  function countGivenUp(): void {
    givenUp += 1;
    givenUpUnlogged += 1;
    const now = performance.now();
    if (now - loggedAt < LOG_EVERY_MS) return;
    loggedAt = now;
    log.warn("requests_given_up", {
      count: givenUpUnlogged,
      held_bytes: heldBytes,
      limit_bytes: limitBytes,
    });
    givenUpUnlogged = 0;
  }

  function open(): MemoryShare {
    const holder: Holder = {
      bytes: 0,
      progressAt: performance.now(),
      waiter: null,
      giveUp: null,
    };

    function waitFor(bytes: number): Promise<boolean> {
      return new Promise((resolve) => {
        const timer = setTimeout(() => waiter.settle(false), WAIT_MS);
        const waiter: Waiter = {
          bytes,
          settle(hasRoom) {
            clearTimeout(timer);
            waiting.delete(waiter);
            holder.waiter = null;
            holder.progressAt = performance.now();
            if (hasRoom) change(holder, bytes);
            resolve(hasRoom);
          },
        };
        holder.waiter = waiter;
        waiting.add(waiter);
      });
    }

    return {
      tryTake(bytes) {
        if (!fits(bytes)) makeRoom(bytes, holder);
        const isSmall = holder.bytes + bytes <= smallBytes;
        if (!isSmall && (waiting.size > 0 || !fits(bytes))) return false;
        change(holder, bytes);
        return true;
      },
      waitFor,
      hold(bytes) {
        const added = bytes - holder.bytes;
        if (added === 0) return;
        if (added > 0 && !fits(added)) makeRoom(added, holder);
        change(holder, added);
        if (added < 0) admitWaiters();
      },
      progress() {
        holder.progressAt = performance.now();
      },
      onGiveUp(end) {
        holder.giveUp = end;
      },
      release() {
        holder.waiter?.settle(false);
        change(holder, -holder.bytes);
        holder.giveUp = null;
        admitWaiters();
      },
    };
  }

  return {
    limitBytes,
    heldBytes: () => heldBytes,
    givenUp: () => givenUp,
    open,
  };
}

/**
 * Limits retries to a share of the requests and a fixed allowance in a sliding
 * window, over all instances together.
 *
 * Each request pays for at most `ratio` retries, once, and only for a part of
 * the window after it came. So the retries that requests pay for stay within the
 * limit however the requests move between instances and processes. The fixed
 * allowance is divided among instances; their parts never add up to more.
 */
import { createLogger } from "@rosemarypin/telemetry";

export interface RetryLimit {
  /** Retries for each request. */
  readonly ratio: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
  /** Retries of all instances in a window, whatever the requests. */
  readonly slack: number;
}

/**
 * Share of the limit that is used. Requests pay for retries up to `PAYING_SLICES`
 * later, so a window holds retries for the requests of 1.3 windows; processes
 * that start have a quarter of a part beside what those before them have used.
 */
const USABLE_SHARE = 0.75;
const WINDOW_SLICES = 10;
/** Slices whose requests pay for retries, the present one included. */
const PAYING_SLICES = 3;
/** What is left by sums of fractions that should be whole. */
const ROUNDING = 1e-6;

const log = createLogger("retries");

/** A retry that counts from when it was taken until a window after it is sent. */
export interface Retry {
  /** Counts it as sent now, also if it was before and has not arrived. */
  send(): void;
  /** Returns it to the budget, since nothing arrived. */
  release(): void;
}

/** What an instance may use of the fixed allowance. */
export interface RetryShare {
  /** Its part of the allowance, from 0 to 1. */
  readonly part: number;
  /** Why it has this part, for the log. */
  readonly standing: string;
}

export interface RetryTotals {
  taken: number;
  /** Asked for while none was left. */
  refused: number;
}

export interface RetryBudget {
  /** Counts a request of a caller, which adds to the allowance. */
  countRequest(service: string): void;
  /** Takes one retry from the budget; `null` when none is left. */
  takeRetry(service: string): Retry | null;
  /** Retries since the start, by service. */
  totals(): ReadonlyMap<string, RetryTotals>;
}

interface WindowSlice {
  readonly index: number;
  requests: number;
  /** Retries, or fractions of them, that these requests have paid for. */
  paid: number;
  /** The same of the fixed allowance, sent in this slice. */
  fixed: number;
  taken: number;
  refused: number;
}

/** The part of a retry that the requests of a slice pay for. */
interface Payment {
  readonly slice: WindowSlice;
  readonly amount: number;
}

interface Account extends RetryTotals {
  /** Those of the last window, the latest last. */
  slices: WindowSlice[];
  /** Retries of the fixed allowance that were taken and not sent so far. */
  unsent: number;
}

/**
 * Creates the budget of one instance: its part of the slack, and retries for the
 * requests that it received itself.
 */
export function createRetryBudget(
  limit: RetryLimit,
  ownShare: () => RetryShare,
): RetryBudget {
  const sliceMs = limit.windowMs / WINDOW_SLICES;
  const accounts = new Map<string, Account>();

  function accountOf(service: string): Account {
    const account = accounts.get(service) ?? {
      slices: [],
      unsent: 0,
      taken: 0,
      refused: 0,
    };
    accounts.set(service, account);
    return account;
  }

  function sliceIndex(): number {
    return Math.floor(performance.now() / sliceMs);
  }

  function currentSlice(service: string): WindowSlice {
    const account = accountOf(service);
    const index = sliceIndex();
    const last = account.slices.at(-1);
    if (last?.index === index) return last;
    if (last) logSlice(service, last);
    const slice = {
      index,
      requests: 0,
      paid: 0,
      fixed: 0,
      taken: 0,
      refused: 0,
    };
    account.slices = [...account.slices.filter(isInWindow), slice];
    return slice;
  }

  /** Whether a part of the slice may be less than a window ago. */
  function isInWindow({ index }: WindowSlice): boolean {
    return index >= sliceIndex() - WINDOW_SLICES;
  }

  function isPaying({ index }: WindowSlice): boolean {
    return index > sliceIndex() - PAYING_SLICES;
  }

  /** Retries that the requests of a slice can still pay for. */
  function unpaidIn({ requests, paid }: WindowSlice): number {
    return USABLE_SHARE * limit.ratio * requests - paid;
  }

  function balanceOf({ slices, unsent }: Account) {
    const share = ownShare();
    const paying = slices.filter(isPaying);
    const inWindow = slices.filter(isInWindow);
    const fixedAllowed = USABLE_SHARE * limit.slack * share.part;
    return {
      share,
      fixedAllowed,
      requests: sumOf(inWindow, ({ requests }) => requests),
      paid: sumOf(inWindow, ({ paid }) => paid),
      fixed: unsent + sumOf(inWindow, ({ fixed }) => fixed),
      unpaid: sumOf(paying, unpaidIn),
    };
  }

  function logSlice(service: string, { taken, refused }: WindowSlice): void {
    if (taken + refused === 0) return;
    const balance = balanceOf(accountOf(service));
    log.info("retries_counted", {
      service,
      taken,
      refused,
      window_requests: balance.requests,
      window_paid: balance.paid.toFixed(1),
      window_fixed: balance.fixed.toFixed(1),
      fixed_allowed: balance.fixedAllowed.toFixed(1),
      share: balance.share.part.toFixed(3),
      standing: balance.share.standing,
    });
  }

  /** Has the requests pay for up to one retry, the oldest first. */
  function collectPayments({ slices }: Account): Payment[] {
    const payments: Payment[] = [];
    let due = 1;
    for (const slice of slices.filter(isPaying)) {
      const amount = Math.min(due, unpaidIn(slice));
      if (amount <= ROUNDING) continue;
      slice.paid += amount;
      due -= amount;
      payments.push({ slice, amount });
    }
    return payments;
  }

  function createRetry(service: string): Retry {
    const account = accountOf(service);
    let payments = collectPayments(account);
    let fixed = 1 - totalOf(payments);
    let sentIn: WindowSlice | null = null;
    account.unsent += fixed;

    function takeFixedBack(): void {
      if (sentIn) sentIn.fixed -= fixed;
      else account.unsent -= fixed;
    }

    return {
      send() {
        takeFixedBack();
        // What was taken long ago is no longer paid for.
        fixed += totalOf(payments.filter(({ slice }) => !isPaying(slice)));
        payments = payments.filter(({ slice }) => isPaying(slice));
        sentIn = currentSlice(service);
        sentIn.fixed += fixed;
      },
      release() {
        takeFixedBack();
        for (const { slice, amount } of payments) slice.paid -= amount;
      },
    };
  }

  return {
    countRequest(service) {
      currentSlice(service).requests += 1;
    },
    takeRetry(service) {
      const slice = currentSlice(service);
      const account = accountOf(service);
      const { fixedAllowed, fixed, unpaid } = balanceOf(account);
      const left = Math.max(0, fixedAllowed - fixed) + Math.max(0, unpaid);
      const isLeft = left >= 1 - ROUNDING;
      const decision = isLeft ? "taken" : "refused";
      slice[decision] += 1;
      account[decision] += 1;
      return isLeft ? createRetry(service) : null;
    },
    totals: () => accounts,
  };
}

function totalOf(payments: readonly Payment[]): number {
  return sumOf(payments, ({ amount }) => amount);
}

function sumOf<T>(items: readonly T[], amountOf: (item: T) => number): number {
  return items.reduce((sum, item) => sum + amountOf(item), 0);
}

/** How fast KV cache went from one engine to another, as measured here. */

/**
 * Speed of a link of which nothing was measured: 10 Gbit/s. It is a hopeful
 * guess, since one that keeps imports from being tried would never be put
 * right, and the limit of a transfer bounds what a wrong one costs.
 */
const UNMEASURED_BYTES_PER_SECOND = 1_250_000_000;
/** What an older transfer counts beside the one after it. */
const DECAY = 0.7;
const ENGINE_PAIRS_AT_MOST = 512;
const DOMAIN_PAIRS_AT_MOST = 128;
/**
 * After this long without a transfer a measure counts no more. A link that
 * was slow once is chosen for no import, so nothing else would ever show that
 * it has become fast again.
 */
const FORGET_MS = 30_000;
const MILLIS = 1_000;

/** One end of a link. */
export interface LinkEnd {
  readonly engine: string;
  readonly failureDomain: string;
}

export interface Link {
  readonly from: LinkEnd;
  readonly to: LinkEnd;
}

interface Transfer {
  readonly bytes: number;
  readonly durationMs: number;
}

/** Weighted means over the latest transfers of each link. */
export interface LinkSpeeds {
  observe(link: Link, transfer: Transfer): void;
  /**
   * Takes a transfer that was given up: at best it was as fast as this. It
   * speaks of the two engines only, since one of them may be frozen.
   */
  observeGivenUp(link: Link, transfer: Transfer): void;
  /**
   * Of the two engines; else of their failure domains; else a usual one, so
   * that the first transfer is tried and measured.
   */
  bytesPerSecond(link: Link): number;
}

/** Creates speeds of which none is measured. */
export function createLinkSpeeds(
  options: { readonly forgetMs?: number } = {},
): LinkSpeeds {
  const { forgetMs = FORGET_MS } = options;
  const engines = createMeans({ atMost: ENGINE_PAIRS_AT_MOST, forgetMs });
  const domains = createMeans({ atMost: DOMAIN_PAIRS_AT_MOST, forgetMs });
  return {
    observeGivenUp(link, transfer) {
      engines.observe(engineKey(link), transfer);
    },
    observe(link, transfer) {
      engines.observe(engineKey(link), transfer);
      domains.observe(domainKey(link), transfer);
    },
    bytesPerSecond: (link) =>
      engines.read(engineKey(link)) ??
      domains.read(domainKey(link)) ??
      UNMEASURED_BYTES_PER_SECOND,
  };
}

function engineKey({ from, to }: Link): string {
  return `${from.engine}>${to.engine}`;
}

function domainKey({ from, to }: Link): string {
  return `${from.failureDomain}>${to.failureDomain}`;
}

/** Keeps the pairs that were observed last. */
function createMeans(options: {
  readonly atMost: number;
  readonly forgetMs: number;
}) {
  const { atMost, forgetMs } = options;
  const sums = new Map<string, Transfer & { readonly at: number }>();

  function fresh(key: string): Transfer | undefined {
    const sum = sums.get(key);
    return sum && performance.now() - sum.at < forgetMs ? sum : undefined;
  }

  return {
    observe(key: string, next: Transfer): void {
      const before = fresh(key) ?? { bytes: 0, durationMs: 0 };
      sums.delete(key);
      sums.set(key, {
        bytes: before.bytes * DECAY + next.bytes,
        durationMs: before.durationMs * DECAY + next.durationMs,
        at: performance.now(),
      });
      const [oldest] = sums.keys();
      if (sums.size > atMost && oldest !== undefined) sums.delete(oldest);
    },
    read(key: string): number | undefined {
      const sum = fresh(key);
      if (!sum || sum.durationMs <= 0) return undefined;
      return (sum.bytes / sum.durationMs) * MILLIS;
    },
  };
}

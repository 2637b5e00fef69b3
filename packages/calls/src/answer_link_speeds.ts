/** Measures the speed of KV cache transfers between engines. */

/**
 * Assumed speed of a link without measurements: 10 Gbit/s. It is optimistic:
 * too low a value would prevent imports and so never be corrected, while the
 * cost of too high a value is bounded by the transfer timeout.
 */
const DEFAULT_BYTES_PER_SECOND = 1_250_000_000;
/** Factor by which each new transfer reduces the weight of older ones. */
const DECAY = 0.7;
const MAX_ENGINE_PAIRS = 512;
const MAX_DOMAIN_PAIRS = 128;
/**
 * Age at which a measurement expires. A link measured as slow gets no further
 * imports, so its recovery would never be detected otherwise.
 */
const MEASUREMENT_EXPIRY_MS = 30_000;
const MS_PER_SECOND = 1_000;

/** One end of a link. */
export interface LinkEnd {
  readonly engine: string;
  readonly failureDomain: string;
}

/** Direction of a transfer between two engines. */
export interface Link {
  readonly from: LinkEnd;
  readonly to: LinkEnd;
}

interface Transfer {
  readonly bytes: number;
  readonly durationMs: number;
}

/** Weighted average speed of each link, over its latest transfers. */
export interface LinkSpeeds {
  /** Records a completed transfer. */
  observe(link: Link, transfer: Transfer): void;
  /**
   * Records a transfer that timed out; its speed is an upper bound. It counts
   * for the two engines only and not for their failure domains, since one of
   * the engines may be frozen.
   */
  observeTimeout(link: Link, transfer: Transfer): void;
  /**
   * Average of the two engines, else of their failure domains, else a default
   * that is fast enough for a first transfer to be tried.
   */
  bytesPerSecond(link: Link): number;
}

/** Creates link speeds without measurements. */
export function createLinkSpeeds(
  options: { readonly expiryMs?: number } = {},
): LinkSpeeds {
  const { expiryMs = MEASUREMENT_EXPIRY_MS } = options;
  const engines = createTransferAverages({
    maxPairs: MAX_ENGINE_PAIRS,
    expiryMs,
  });
  const domains = createTransferAverages({
    maxPairs: MAX_DOMAIN_PAIRS,
    expiryMs,
  });
  return {
    observeTimeout(link, transfer) {
      engines.observe(engineKey(link), transfer);
    },
    observe(link, transfer) {
      engines.observe(engineKey(link), transfer);
      domains.observe(domainKey(link), transfer);
    },
    bytesPerSecond: (link) =>
      engines.read(engineKey(link)) ??
      domains.read(domainKey(link)) ??
      DEFAULT_BYTES_PER_SECOND,
  };
}

function engineKey({ from, to }: Link): string {
  return `${from.engine}>${to.engine}`;
}

function domainKey({ from, to }: Link): string {
  return `${from.failureDomain}>${to.failureDomain}`;
}

/** Averages transfers by key and evicts the least recently observed key. */
function createTransferAverages(options: {
  readonly maxPairs: number;
  readonly expiryMs: number;
}) {
  const { maxPairs, expiryMs } = options;
  const weightedSums = new Map<
    string,
    Transfer & { readonly observedAt: number }
  >();

  function readUnexpired(key: string): Transfer | undefined {
    const weighted = weightedSums.get(key);
    return weighted && performance.now() - weighted.observedAt < expiryMs
      ? weighted
      : undefined;
  }

  return {
    observe(key: string, next: Transfer): void {
      const previous = readUnexpired(key) ?? { bytes: 0, durationMs: 0 };
      weightedSums.delete(key);
      weightedSums.set(key, {
        bytes: previous.bytes * DECAY + next.bytes,
        durationMs: previous.durationMs * DECAY + next.durationMs,
        observedAt: performance.now(),
      });
      const [oldest] = weightedSums.keys();
      if (weightedSums.size > maxPairs && oldest !== undefined)
        weightedSums.delete(oldest);
    },
    read(key: string): number | undefined {
      const weighted = readUnexpired(key);
      if (!weighted || weighted.durationMs <= 0) return undefined;
      return (weighted.bytes / weighted.durationMs) * MS_PER_SECOND;
    },
  };
}

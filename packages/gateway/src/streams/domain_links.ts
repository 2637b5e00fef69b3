/**
 * Tracks how long the links between failure domains are busy with what this
 * instance sent over them. All pipelines share a link, and it passes activations
 * on one after the other: once prompts arrive faster than it passes them, every
 * answer on it waits behind all of them, those of callers that have left as well.
 */

/**
 * Share of a link that all instances use together. The rest is for the tokens
 * that are generated, which need it at once.
 */
const USABLE_SHARE = 0.7;
/** Backlog of a link, in the share of one instance, up to which it is used. */
const MAX_BACKLOG_MS = 250;

export interface DomainLinks {
  /** Counts activations that take so long on the link. */
  send(domain: string, other: string, ms: number): void;
  /** Time after which the share of this instance is free again. */
  backlogMs(domain: string, other: string): number;
  /** Whether new answers may use the link. */
  isFree(domain: string, other: string): boolean;
}

/**
 * Creates links without traffic. Each of `countInstances` may use an equal part
 * of a link, so that they keep within it without communication between them.
 */
export function createDomainLinks(countInstances: () => number): DomainLinks {
  const freeAt = new Map<string, number>();

  function backlogMs(domain: string, other: string): number {
    const at = freeAt.get(keyOf(domain, other)) ?? 0;
    return Math.max(0, at - performance.now());
  }

  return {
    send(domain, other, ms) {
      const busyMs = (ms * Math.max(1, countInstances())) / USABLE_SHARE;
      const at = performance.now() + backlogMs(domain, other) + busyMs;
      freeAt.set(keyOf(domain, other), at);
    },
    backlogMs,
    isFree: (domain, other) => backlogMs(domain, other) <= MAX_BACKLOG_MS,
  };
}

function keyOf(domain: string, other: string): string {
  return domain < other ? `${domain} ${other}` : `${other} ${domain}`;
}

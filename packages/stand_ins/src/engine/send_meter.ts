/** Measures how long messages to other engines take. */

/** So many sends must be slow before the engine says that its link is. */
const LATEST = 8;

/** Knows the least time of the latest sends. */
export interface SendMeter {
  observe(durationMs: number): void;
  /** Milliseconds, or `undefined` before there are enough sends. */
  leastMs(): number | undefined;
}

/**
 * Creates a meter that has seen nothing. A receiver that is busy or frozen
 * holds some messages up, a degraded link all of them: the least of the latest
 * times tells the two apart, and shows at once when the link has recovered.
 */
export function createSendMeter(): SendMeter {
  const latest: number[] = [];
  return {
    observe(durationMs) {
      latest.push(durationMs);
      if (latest.length > LATEST) latest.shift();
    },
    leastMs: () => (latest.length < LATEST ? undefined : Math.min(...latest)),
  };
}

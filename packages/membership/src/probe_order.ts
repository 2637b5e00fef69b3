/** The order in which instances are probed. */

/** A random number from 0 to 1, 1 excluded. */
export type Random = () => number;

/** The items in a random order. */
export function shuffle<T>(items: readonly T[], random: Random): T[] {
  return items
    .map((item) => ({ item, key: random() }))
    .sort((a, b) => a.key - b.key)
    .map(({ item }) => item);
}

/** Up to `count` of the items, chosen at random. */
export function sample<T>(
  items: readonly T[],
  count: number,
  options: { readonly random: Random },
): T[] {
  return shuffle(items, options.random).slice(0, count);
}

/**
 * Iterates over a changing set in rounds of random order. Each round contains
 * every member once, which bounds the time between probes of a member;
 * independent random choices would not.
 */
export function createProbeOrder(options: {
  readonly candidates: () => readonly string[];
  readonly random: Random;
}) {
  let round: string[] = [];
  return {
    /** The next candidate; `undefined` if there are none. */
    next(): string | undefined {
      const candidates = new Set(options.candidates());
      round = round.filter((id) => candidates.has(id));
      if (round.length === 0) round = shuffle([...candidates], options.random);
      return round.pop();
    },
  };
}

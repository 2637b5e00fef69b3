/** The order in which instances are probed. */
import { hashOfId } from "./member_table.ts";

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
 * Whom an instance probes in step `step`: all stand in one ring, by the hash
 * of their names, and each probes the one that is so many places on. In one
 * step those who agree on the ring so probe different ones. With a free choice
 * some are probed by several others in the same second and pay for all the
 * answers, and others by nobody, so that a death among them is found later.
 * Each still goes round all the others, which bounds the time until it probes
 * any of them again. Whoever `isWanted` refuses is passed over.
 */
export function probeTarget(
  step: number,
  options: {
    readonly self: string;
    readonly others: readonly string[];
    readonly isWanted: (id: string) => boolean;
  },
): string | undefined {
  const { self, others, isWanted } = options;
  const ring = [self, ...others]
    .map((id) => ({ id, place: hashOfId(id) }))
    .sort((a, b) => a.place - b.place || (a.id < b.id ? -1 : 1));
  const own = ring.findIndex(({ id }) => id === self);
  for (let passed = 0; passed < others.length; passed += 1) {
    const places = 1 + ((step + passed) % others.length);
    const found = ring[(own + places) % ring.length];
    if (found && isWanted(found.id)) return found.id;
  }
  return undefined;
}

/**
 * Counts steps of `stepMs` by the wall clock, so that all count alike. The
 * clocks need not agree: where they do not, some are probed twice in a step.
 * A clock that is set back or stands still must not make an instance probe the
 * same one over and over, so each count is higher than the one before.
 */
export function createStepCounter() {
  let last = Number.NEGATIVE_INFINITY;
  return {
    next(stepMs: number): number {
      last = Math.max(last + 1, Math.floor(Date.now() / stepMs));
      return last;
    },
  };
}

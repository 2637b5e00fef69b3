/** Random choices that a printed seed brings back. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Largest seed that is drawn for another generator. */
export const HIGHEST_SEED = 2 ** 31 - 1;

/** Choices of one run. */
export interface SeededRandom {
  /** A whole number from `low` to `high`, both included. */
  between(low: number, high: number): number;
  pick<T>(items: readonly [T, ...T[]]): T;
  chance(probability: number): boolean;
}

const FINE = 1_000_000;

/** Creates the choices that belong to `seed`. */
export function createSeededRandom(seed: number): SeededRandom {
  const generator = xoroshiro128plus(seed);
  const between = (low: number, high: number) =>
    uniformInt(generator, low, high);
  return {
    between,
    pick: (items) => items[between(0, items.length - 1)] ?? items[0],
    chance: (probability) => between(0, FINE - 1) < probability * FINE,
  };
}

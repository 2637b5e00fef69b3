/** Which faults come when, from the seed and within a budget. */
import type { SeededRandom } from "../seeded_random.ts";

/** Faults of one history. */
export interface Faults {
  /** Whether a fault happens here; takes one from the budget if so. */
  strikes(probability: number): boolean;
  pick<T>(items: readonly [T, ...T[]]): T;
  between(low: number, high: number): number;
  /** From here on nothing fails. */
  end(): void;
}

/** Creates at most `budget` faults. */
export function createFaults(random: SeededRandom, budget: number): Faults {
  let left = budget;
  return {
    strikes(probability) {
      const struck = random.chance(probability) && left > 0;
      if (struck) left -= 1;
      return struck;
    },
    pick: (items) => random.pick(items),
    between: (low, high) => random.between(low, high),
    end() {
      left = 0;
    },
  };
}

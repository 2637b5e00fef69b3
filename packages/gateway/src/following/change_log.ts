/** The latest changes of a mirror, for instances that follow it. */
import type { StoredObject } from "@rosemarypin/store";
import { z } from "zod";

/** Changes that are kept; who is further behind gets all objects. */
const KEPT_CHANGES = 512;

/** Objects as instances pass them on to each other. */
export const storedObjectsSchema = z.array(
  z.object({ key: z.string(), value: z.unknown(), version: z.number() }),
);

/** How far a follower has read one log. */
export const positionSchema = z.object({
  /** Tells logs of different processes apart. */
  epoch: z.number(),
  sequence: z.number(),
});

export type ChangePosition = z.infer<typeof positionSchema>;

export interface Changes {
  readonly position: ChangePosition;
  /** Whether `objects` is all there is. */
  readonly isWhole: boolean;
  readonly objects: readonly StoredObject[];
  readonly removed: readonly string[];
}

export interface ChangeLog {
  put(key: string): void;
  position(): ChangePosition;
  /** What changed since; all objects when that is not known any more. */
  after(position: ChangePosition | null): Changes;
  /** Calls the listener with each change; returns how to stop. */
  onChange(listener: () => void): () => void;
}

/** Creates the log of one mirror, which knows the objects themselves. */
export function createChangeLog(
  objects: ReadonlyMap<string, StoredObject>,
): ChangeLog {
  const epoch = Math.floor(Math.random() * Number.MAX_SAFE_INTEGER);
  /** Keys in the order of their changes. */
  let keys: string[] = [];
  /** Sequence of the first of them. */
  let first = 1;
  const listeners = new Set<() => void>();

  function position(): ChangePosition {
    return { epoch, sequence: first + keys.length - 1 };
  }

  return {
    position,
    put(key) {
      keys.push(key);
      if (keys.length > 2 * KEPT_CHANGES) {
        first += keys.length - KEPT_CHANGES;
        keys = keys.slice(-KEPT_CHANGES);
      }
      for (const listener of [...listeners]) listener();
    },
    after(since) {
      const isKnown =
        since?.epoch === epoch &&
        since.sequence >= first - 1 &&
        since.sequence <= position().sequence;
      if (!isKnown) {
        return {
          position: position(),
          isWhole: true,
          objects: [...objects.values()],
          removed: [],
        };
      }
      const changed = new Set(keys.slice(since.sequence - first + 1));
      return {
        position: position(),
        isWhole: false,
        objects: [...changed].flatMap((key) => objects.get(key) ?? []),
        removed: [...changed].filter((key) => !objects.has(key)),
      };
    },
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}

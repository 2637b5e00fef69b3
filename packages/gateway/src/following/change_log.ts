/** A log of a mirror's latest changes, read by instances that follow it. */
import type { StoredObject } from "@rosemarypin/store";
import { z } from "zod";

/** Changes kept by a trim; a follower further behind gets all objects. */
const MIN_KEPT_CHANGES = 512;

/** Encoding of objects in calls between instances. */
export const storedObjectsSchema = z.array(
  z.object({ key: z.string(), value: z.unknown(), version: z.number() }),
);

/** A follower's read position in a log. */
export const positionSchema = z.object({
  /** Random number that identifies the log; a restart creates another one. */
  epoch: z.number(),
  sequence: z.number(),
});

export type ChangePosition = z.infer<typeof positionSchema>;

export interface Changes {
  readonly position: ChangePosition;
  /** Whether `objects` is the whole state, so that other keys are removed. */
  readonly isWhole: boolean;
  readonly objects: readonly StoredObject[];
  readonly removed: readonly string[];
}

export interface ChangeLog {
  /** Records that the object at the key was written or removed. */
  recordChange(key: string): void;
  position(): ChangePosition;
  /** Changes after a position; all objects if the log doesn't reach back. */
  after(position: ChangePosition | null): Changes;
  /** Calls the listener after each change; returns an unsubscribe function. */
  onChange(listener: () => void): () => void;
}

/** Creates the log of a mirror; the mirror keeps `objects` up to date. */
export function createChangeLog(
  objects: ReadonlyMap<string, StoredObject>,
): ChangeLog {
  const epoch = Math.floor(Math.random() * Number.MAX_SAFE_INTEGER);
  /** Keys in order of change; a key may occur more than once. */
  let changedKeys: string[] = [];
  /** Sequence number of the first entry of `changedKeys`. */
  let firstSequence = 1;
  const listeners = new Set<() => void>();

  function position(): ChangePosition {
    return { epoch, sequence: firstSequence + changedKeys.length - 1 };
  }

  return {
    position,
    recordChange(key) {
      changedKeys.push(key);
      if (changedKeys.length > 2 * MIN_KEPT_CHANGES) {
        firstSequence += changedKeys.length - MIN_KEPT_CHANGES;
        changedKeys = changedKeys.slice(-MIN_KEPT_CHANGES);
      }
      for (const listener of [...listeners]) listener();
    },
    after(since) {
      const isCovered =
        since?.epoch === epoch &&
        since.sequence >= firstSequence - 1 &&
        since.sequence <= position().sequence;
      if (!isCovered) {
        return {
          position: position(),
          isWhole: true,
          objects: [...objects.values()],
          removed: [],
        };
      }
      const changed = new Set(
        changedKeys.slice(since.sequence - firstSequence + 1),
      );
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

/** What this instance counts towards its service levels. */
import type { NoteKeeper } from "@rosemarypin/release";
import { type Settings, WHOLE_INSTANCE_NAME } from "@rosemarypin/schemas";
import {
  createServiceLevels,
  type ServiceLevelCounter,
} from "@rosemarypin/telemetry";

/** Creates the counter for the objectives in the settings. */
export function createInstanceLevels(settings: Settings): ServiceLevelCounter {
  const { instance, objectives } = settings;
  const { target, bookingsTarget } = objectives;
  return createServiceLevels({
    instance: instance.id,
    failureDomain: instance.failureDomain,
    targets: {
      firstToken: target,
      betweenTokens: target,
      booking: bookingsTarget,
      note: target,
    },
  });
}

/**
 * Counts how fast each new note is applied here. Notes from before the start
 * are left out: an instance that joins learns them late by nature.
 */
export function countNotes(
  keeper: NoteKeeper,
  options: {
    readonly levels: ServiceLevelCounter;
    readonly objectives: Settings["objectives"];
  },
): void {
  const { levels, objectives } = options;
  const startedAt = Date.now();
  let highest = 0;
  // The same note comes again when contact lapses and returns.
  keeper.onChange(({ number, recordedAt }) => {
    if (number <= highest) return;
    highest = number;
    if (recordedAt < startedAt) return;
    const met = Date.now() - recordedAt <= objectives.noteInForceMs;
    levels.count(
      {
        objective: "note",
        organisation: WHOLE_INSTANCE_NAME,
        name: WHOLE_INSTANCE_NAME,
      },
      met,
    );
  });
}

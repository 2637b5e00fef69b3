/** Questions about release notes that change nothing. */
import {
  checkNote,
  diffNotes,
  type ExplainSubject,
  explain,
  type NoteKeeper,
  type Publisher,
} from "@rosemarypin/release";
import type {
  Explain,
  NoteCheck,
  NoteDiff,
  ReleaseNote,
} from "@rosemarypin/schemas";

export type DiffResult =
  | { readonly kind: "diff"; readonly diff: NoteDiff }
  | { readonly kind: "missing"; readonly number: number }
  | { readonly kind: "unavailable" };

/** Answers questions about notes from what the instance holds. */
export interface NoteInspector {
  explain(subject: ExplainSubject): Promise<Explain>;
  /** What changed between the states after two notes; 0 is before the first. */
  diff(from: number, to: number): Promise<DiffResult>;
  /** Whether a note could be published now; records nothing. */
  check(note: ReleaseNote): NoteCheck;
}

/** Creates an inspector of the note in use and of the history. */
export function createNoteInspector(options: {
  readonly keeper: Pick<NoteKeeper, "current" | "applied">;
  readonly publisher: Pick<Publisher, "history" | "find">;
}): NoteInspector {
  const { keeper, publisher } = options;

  return {
    async explain(subject) {
      const history = (await publisher.history()) ?? [];
      return explain(subject, { record: keeper.current(), history });
    },
    async diff(from, to) {
      const before = from === 0 ? null : await publisher.find(from);
      const after = await publisher.find(to);
      if (before === undefined || after === undefined) {
        return { kind: "unavailable" };
      }
      if (!before && from !== 0) return { kind: "missing", number: from };
      if (!after) return { kind: "missing", number: to };
      return { kind: "diff", diff: diffNotes(before, after) };
    },
    check: (note) => checkNote(note, keeper.applied()),
  };
}

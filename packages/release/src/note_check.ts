/** Checks a note against the note in use, without publishing it. */

import {
  emptyCatalogue,
  type NoteCheck,
  type NoteRecord,
  type ReleaseNote,
} from "@rosemarypin/schemas";
import { mergeNote } from "./merge_note.ts";
import { diffCatalogues } from "./note_diff.ts";

/** Checks whether `note` may supersede `record` and lists its changes. */
export function checkNote(
  note: ReleaseNote,
  record: NoteRecord | null,
): NoteCheck {
  const against = record?.number ?? 0;
  const base = record?.catalogue ?? emptyCatalogue;
  const merged = mergeNote(base, note, { number: against + 1 });
  const problems = merged.kind === "invalid" ? [...merged.problems] : [];
  if (note.supersedes !== against) {
    problems.unshift({
      line: "supersedes",
      message: `note ${against} is in use; look at it and write ${against}`,
    });
  }
  if (merged.kind === "invalid" || problems.length > 0) {
    return { valid: false, against, problems, changes: [] };
  }
  const changes = diffCatalogues(base, merged.catalogue);
  return { valid: true, against, problems, changes };
}

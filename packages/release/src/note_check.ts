/** Checks a note against the note in use, without publishing it. */
import {
  emptyCatalogue,
  type NoteCheck,
  type NoteRecord,
  type ReleaseNote,
} from "@rosemarypin/schemas";
import { foldNote } from "./fold.ts";
import { diffCatalogues } from "./note_diff.ts";

/** Says whether `note` could follow `record`, and what it would change. */
export function checkNote(
  note: ReleaseNote,
  record: NoteRecord | null,
): NoteCheck {
  const against = record?.number ?? 0;
  const base = record?.catalogue ?? emptyCatalogue;
  const folded = foldNote(base, note, { number: against + 1 });
  const problems = folded.kind === "invalid" ? [...folded.problems] : [];
  if (note.supersedes !== against) {
    problems.unshift({
      line: "supersedes",
      message: `note ${against} is in use; look at it and write ${against}`,
    });
  }
  if (folded.kind === "invalid" || problems.length > 0) {
    return { valid: false, against, problems, changes: [] };
  }
  const changes = diffCatalogues(base, folded.catalogue);
  return { valid: true, against, problems, changes };
}

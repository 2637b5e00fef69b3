/** Renders what a note changes, one line for each change. */
import type { NoteChange } from "@rosemarypin/schemas";

const signs: Readonly<Record<NoteChange["change"], string>> = {
  added: "+",
  removed: "-",
  changed: "~",
};

/** Lines such as `  + version v2 of assist`. */
export function renderChanges(changes: readonly NoteChange[]): string[] {
  return changes.map((change) => `  ${signs[change.change]} ${text(change)}`);
}

function text({ kind, model, name, before, after }: NoteChange): string {
  if (kind === "serve") {
    return `${name} is answered by [${after ?? ""}], before by [${before ?? ""}]`;
  }
  return model === undefined
    ? `${kind} ${name}`
    : `${kind} ${name} of ${model}`;
}

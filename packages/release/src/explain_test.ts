import { type NoteRecord, releaseNoteSchema } from "@rosemarypin/schemas";
import { describe, expect, it } from "vitest";
import { explain } from "./explain.ts";
import { mergeNote } from "./merge_note.ts";
import { checkNote } from "./note_check.ts";
import { diffNotes } from "./note_diff.ts";

const version = (name: string) => ({
  kind: "version",
  model: "assist",
  version: name,
  layers: 4,
  layerSets: [{ name: `set-${name}`, from: 0, to: 4 }],
});

const parse = (note: Record<string, unknown>) =>
  releaseNoteSchema.parse({ publishId: "publish-id", ...note });

function recordAll(notes: readonly Record<string, unknown>[]): NoteRecord[] {
  const records: NoteRecord[] = [];
  for (const [index, written] of notes.entries()) {
    const note = parse({ supersedes: index, ...written });
    const catalogue = records.at(-1)?.catalogue ?? {
      models: {},
      services: [],
      withdrawn: [],
    };
    const number = index + 1;
    const folded = mergeNote(catalogue, note, { number });
    if (folded.kind === "invalid") throw new Error("a note is wrong");
    const recordedBy = "one";
    const record = { number, note, recordedAt: 0, recordedBy };
    records.push({ ...record, catalogue: folded.catalogue });
  }
  return records;
}

const history = recordAll([
  { reason: "first", added: [version("v1")] },
  { reason: "next", added: [version("v2")] },
  {
    reason: "back",
    changed: [{ kind: "model", model: "assist", serve: ["v1"] }],
  },
  {
    reason: "faulty batch",
    withdrawn: [{ kind: "version", model: "assist", version: "v2" }],
  },
  {
    reason: "all of it",
    withdrawn: [{ kind: "layerSet", model: "assist", layerSet: "set-v1" }],
  },
]);
const at = (number: number) => ({
  record: history[number - 1] ?? null,
  history,
});
const assist = { kind: "model", name: "assist" } as const;

describe("explain", () => {
  it("names the deciding note and line", () => {
    const lines = [1, 2, 3, 4, 5].map((number) => {
      const { verdict, version, decidedBy, message } = explain(
        assist,
        at(number),
      );
      const by = `note ${decidedBy?.number} ${decidedBy?.line}`;
      return `${verdict} ${version ?? "-"} by ${by}: ${message}`;
    });
    expect(lines).toMatchInlineSnapshot(`
      [
        "answered v1 by note 1 added[0]: version 'v1', added by note 1, answers model 'assist'",
        "answered v2 by note 2 added[0]: version 'v2', added by note 2, answers model 'assist'",
        "answered v1 by note 3 changed[0]: version 'v1', added by note 1, answers model 'assist'",
        "answered v1 by note 3 changed[0]: version 'v1', added by note 1, answers model 'assist'",
        "withdrawn - by note 5 withdrawn[0]: layer set 'set-v1' of model 'assist' was withdrawn by note 5: all of it",
      ]
    `);
  });

  it("distinguishes a missing note from an unknown name", () => {
    const other = { kind: "service", name: "dealer-app" } as const;
    expect(explain(assist, { record: null }).verdict).toBe("no_note");
    expect(explain(other, at(1)).verdict).toBe("unknown");
  });
});

describe("note diff and check", () => {
  it("list the changes between notes", () => {
    const [first, , , fourth] = history;
    if (!first || !fourth) throw new Error("the notes are there");
    expect(diffNotes(null, first).changes).toMatchInlineSnapshot(`
      [
        {
          "change": "added",
          "kind": "version",
          "model": "assist",
          "name": "v1",
        },
        {
          "after": "v1",
          "before": "",
          "change": "changed",
          "kind": "serve",
          "model": "assist",
          "name": "assist",
        },
      ]
    `);
    expect(diffNotes(first, fourth).changes).toEqual([]);
  });

  it("find problems of a note before it is published", () => {
    const { record } = at(4);
    const bad = parse({
      supersedes: 2,
      reason: "again",
      added: [version("v2")],
    });
    expect(checkNote(bad, record)).toMatchInlineSnapshot(`
      {
        "against": 4,
        "changes": [],
        "problems": [
          {
            "line": "supersedes",
            "message": "note 4 is in use; look at it and write 4",
          },
          {
            "line": "added[0]",
            "message": "withdrawn for good by note 4; use a new name",
          },
        ],
        "valid": false,
      }
    `);
    const good = parse({
      supersedes: 4,
      reason: "new",
      added: [version("v3")],
    });
    expect(checkNote(good, record)).toMatchObject({ valid: true, against: 4 });
  });
});

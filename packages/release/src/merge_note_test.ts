import { emptyCatalogue, releaseNoteSchema } from "@rosemarypin/schemas";
import { describe, expect, it } from "vitest";
import { mergeNote } from "./merge_note.ts";

const base = releaseNoteSchema.parse({
  supersedes: 0,
  publishId: "publish-1",
  reason: "first",
  added: [
    {
      kind: "version",
      model: "assist",
      version: "v1",
      layers: 4,
      layerSets: [
        { name: "low", from: 0, to: 2 },
        { name: "high", from: 2, to: 4 },
      ],
    },
    { kind: "adapter", model: "assist", adapter: "harvest" },
    { kind: "service", service: "dealer-app" },
  ],
});

function firstCatalogue() {
  const merged = mergeNote(emptyCatalogue, base, { number: 1 });
  if (merged.kind !== "ok") throw new Error("the base note is wrong");
  return merged.catalogue;
}

function nextNote(lines: Record<string, unknown>) {
  return releaseNoteSchema.parse({
    supersedes: 1,
    publishId: "publish-2",
    reason: "next",
    ...lines,
  });
}

describe("merging a note", () => {
  it("withdraws every version that uses a withdrawn layer set", () => {
    const withdrawn = [{ kind: "layerSet", model: "assist", layerSet: "low" }];
    const note = nextNote({ withdrawn });
    const merged = mergeNote(firstCatalogue(), note, { number: 2 });
    expect(merged).toMatchObject({
      kind: "ok",
      catalogue: { models: { assist: { versions: {}, serve: [] } } },
    });
  });

  const refused = [
    {
      name: "a version that exists already",
      lines: { added: [base.added[0]] },
      message: "already exists",
    },
    {
      name: "layer sets with a gap",
      lines: {
        added: [
          {
            kind: "version",
            model: "assist",
            version: "v2",
            layers: 4,
            layerSets: [{ name: "part", from: 0, to: 3 }],
          },
        ],
      },
      message: "cover layers 0 to 4",
    },
    {
      name: "a withdrawal of an unknown version",
      lines: {
        withdrawn: [{ kind: "version", model: "assist", version: "v9" }],
      },
      message: "nothing in use has that name",
    },
    {
      name: "a preference for an unknown version",
      lines: {
        changed: [{ kind: "model", model: "assist", serve: ["v9"] }],
      },
      message: "version 'v9' of model 'assist' does not exist",
    },
  ];
  it.each(refused)("refuses $name", ({ lines, message }) => {
    const merged = mergeNote(firstCatalogue(), nextNote(lines), { number: 2 });
    expect(merged.kind).toBe("invalid");
    expect(JSON.stringify(merged)).toContain(message);
  });

  it("refuses the name of a version whose layer set was withdrawn", () => {
    // Recalling a layer set withdraws version v1. Later v1 is added again with
    // other layer sets. An instance that was cut off meanwhile still has the
    // old v1, and engines identify versions by name only.
    const withdrawn = [{ kind: "layerSet", model: "assist", layerSet: "low" }];
    const recalled = mergeNote(firstCatalogue(), nextNote({ withdrawn }), {
      number: 2,
    });
    if (recalled.kind !== "ok") throw new Error("the recall was refused");
    const layerSets = [{ name: "other", from: 0, to: 4 }];
    const again = nextNote({ added: [{ ...base.added[0], layerSets }] });
    const merged = mergeNote(recalled.catalogue, again, { number: 3 });
    expect(JSON.stringify(merged)).toContain("withdrawn for good by note 2");
  });

  it("refuses a withdrawn name", () => {
    // An operator recalls v1 and later adds another version with that name. An
    // instance that was cut off meanwhile could not tell the two apart.
    const withdrawn = [{ kind: "version", model: "assist", version: "v1" }];
    const recalled = mergeNote(firstCatalogue(), nextNote({ withdrawn }), {
      number: 2,
    });
    if (recalled.kind !== "ok") throw new Error("the recall was refused");
    const again = nextNote({ added: [base.added[0]] });
    const merged = mergeNote(recalled.catalogue, again, { number: 3 });
    expect(JSON.stringify(merged)).toContain("withdrawn for good by note 2");
  });
});

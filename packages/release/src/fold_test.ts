import { emptyCatalogue, releaseNoteSchema } from "@rosemarypin/schemas";
import { describe, expect, it } from "vitest";
import { foldNote } from "./fold.ts";

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
  const folded = foldNote(emptyCatalogue, base, { number: 1 });
  if (folded.kind !== "ok") throw new Error("the base note is wrong");
  return folded.catalogue;
}

function nextNote(lines: Record<string, unknown>) {
  return releaseNoteSchema.parse({
    supersedes: 1,
    publishId: "publish-2",
    reason: "next",
    ...lines,
  });
}

describe("folding a note", () => {
  it("withdraws every version that uses a withdrawn layer set", () => {
    const withdrawn = [{ kind: "layerSet", model: "assist", layerSet: "low" }];
    const note = nextNote({ withdrawn });
    const folded = foldNote(firstCatalogue(), note, { number: 2 });
    expect(folded).toMatchObject({
      kind: "ok",
      catalogue: { models: { assist: { versions: {}, serve: [] } } },
    });
  });

  const refused = [
    {
      name: "a version that is there",
      lines: { added: [base.added[0]] },
      message: "there already",
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
      name: "a withdrawal of nothing",
      lines: {
        withdrawn: [{ kind: "version", model: "assist", version: "v9" }],
      },
      message: "nothing that answers",
    },
    {
      name: "an order with an unknown version",
      lines: {
        changed: [{ kind: "model", model: "assist", serve: ["v9"] }],
      },
      message: "no version 'v9'",
    },
  ];
  it.each(refused)("refuses $name", ({ lines, message }) => {
    const folded = foldNote(firstCatalogue(), nextNote(lines), { number: 2 });
    expect(folded.kind).toBe("invalid");
    expect(JSON.stringify(folded)).toContain(message);
  });

  it("never gives the name of a version out again that lost a layer set", () => {
    // A layer set is recalled, and with it version v1. Later v1 is added again
    // with other layer sets. An instance that was cut off meanwhile holds a
    // note with the old v1, and engines know versions by name only.
    const withdrawn = [{ kind: "layerSet", model: "assist", layerSet: "low" }];
    const recalled = foldNote(firstCatalogue(), nextNote({ withdrawn }), {
      number: 2,
    });
    if (recalled.kind !== "ok") throw new Error("the recall was refused");
    const layerSets = [{ name: "other", from: 0, to: 4 }];
    const again = nextNote({ added: [{ ...base.added[0], layerSets }] });
    const folded = foldNote(recalled.catalogue, again, { number: 3 });
    expect(JSON.stringify(folded)).toContain("withdrawn for good by note 2");
  });

  it("never gives a withdrawn name out again", () => {
    // An operator recalls v1 and later adds a version called v1 again. An
    // instance that was cut off meanwhile could not tell the two apart.
    const withdrawn = [{ kind: "version", model: "assist", version: "v1" }];
    const recalled = foldNote(firstCatalogue(), nextNote({ withdrawn }), {
      number: 2,
    });
    if (recalled.kind !== "ok") throw new Error("the recall was refused");
    const again = nextNote({ added: [base.added[0]] });
    const folded = foldNote(recalled.catalogue, again, { number: 3 });
    expect(JSON.stringify(folded)).toContain("withdrawn for good by note 2");
  });
});

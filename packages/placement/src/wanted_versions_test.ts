import { describe, expect, it } from "vitest";
import { wantedVersions } from "./wanted_versions.ts";

/** What each of the model's pipelines holds, as names of versions. */
type Held = readonly (readonly string[])[];

function wantedOf(
  held: Held,
  options: {
    readonly serve: readonly string[];
    readonly versionsAtOnce: number;
  },
): readonly (readonly string[])[] {
  const isCovered = (version: string) =>
    held.some((versions) => versions.includes(version));
  const holds = (pipeline: number, version: string) =>
    held[pipeline]?.includes(version) ?? false;
  const pipelines = held.length;
  const facts = { ...options, isCovered, holds, pipelines };
  return held.map((_, index) => wantedVersions(index, facts));
}

describe("versions with room beside each other", () => {
  const options = { serve: ["v3", "v2", "v1"], versionsAtOnce: 2 };

  it("are the preferred ones", () => {
    expect(wantedOf([[]], options)).toEqual([["v3", "v2"]]);
    expect(wantedOf([["v2"]], options)).toEqual([["v3", "v2"]]);
  });

  it("keep the one that answers until a preferred one does", () => {
    expect(wantedOf([["v1"]], options)).toEqual([["v3", "v1"]]);
    expect(wantedOf([["v3", "v1"]], options)).toEqual([["v3", "v2"]]);
  });
});

describe("versions with room for one", () => {
  const options = { serve: ["v2", "v1"], versionsAtOnce: 1 };

  it("change one pipeline after the other", () => {
    // Changed all at once, no pipeline would answer while v2 is loaded.
    const rows: [Held, Held][] = [
      [
        [["v1"], ["v1"], ["v1"]],
        [["v2"], ["v1"], ["v1"]],
      ],
      [
        [[], ["v1"], ["v1"]],
        [["v2"], ["v1"], ["v1"]],
      ],
      [
        [["v2"], ["v1"], ["v1"]],
        [["v2"], ["v2"], ["v1"]],
      ],
      [
        [["v2"], ["v2"], ["v1"]],
        [["v2"], ["v2"], ["v2"]],
      ],
    ];
    for (const [held, wanted] of rows) {
      expect(wantedOf(held, options)).toEqual(wanted);
    }
  });

  it("give up no last pipeline for one that is to be loaded", () => {
    expect(wantedOf([["v1"]], options)).toEqual([["v1"]]);
    expect(wantedOf([["v1"], []], options)).toEqual([["v1"], ["v2"]]);
  });

  it("load the preferred one where nothing is held", () => {
    expect(wantedOf([[], []], options)).toEqual([["v2"], ["v2"]]);
  });
});

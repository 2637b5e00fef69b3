import { describe, expect, it } from "vitest";
import { wantedVersions } from "./wanted_versions.ts";

/** Names of the versions that each of the model's pipelines holds. */
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
  const allOptions = { ...options, isCovered, holds, pipelines };
  return held.map((_, index) => wantedVersions(index, allOptions));
}

describe("wanted versions with memory for two", () => {
  const options = { serve: ["v3", "v2", "v1"], versionsAtOnce: 2 };

  it("are the preferred ones", () => {
    expect(wantedOf([[]], options)).toEqual([["v3", "v2"]]);
    expect(wantedOf([["v2"]], options)).toEqual([["v3", "v2"]]);
  });

  it("include the one in use until a preferred one is loaded", () => {
    expect(wantedOf([["v1"]], options)).toEqual([["v3", "v1"]]);
    expect(wantedOf([["v3", "v1"]], options)).toEqual([["v3", "v2"]]);
  });
});

describe("wanted versions with memory for one", () => {
  const options = { serve: ["v2", "v1"], versionsAtOnce: 1 };

  it("change one pipeline at a time", () => {
    // If all changed at once, no pipeline would answer while v2 is loaded.
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

  it("do not replace the version of the only complete pipeline", () => {
    expect(wantedOf([["v1"]], options)).toEqual([["v1"]]);
    expect(wantedOf([["v1"], []], options)).toEqual([["v1"], ["v2"]]);
  });

  it("are the preferred one for pipelines that hold nothing", () => {
    expect(wantedOf([[], []], options)).toEqual([["v2"], ["v2"]]);
  });
});

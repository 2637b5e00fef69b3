import type { EngineSnapshot } from "@rosemarypin/backends";
import { describe, expect, it } from "vitest";
import { arePartners, assignGroupPositions } from "./engine_partners.ts";

function holder(id: string, failureDomain: string, from: number) {
  const layers = { from, to: from + 4 };
  const engine: EngineSnapshot = {
    settings: {
      id,
      failureDomain,
      address: { host: "127.0.0.1", port: 1 },
      accelerator: "fast",
      checksFencing: true,
      roles: [],
    },
    state: null,
    usable: true,
    inFlight: 0,
  };
  return { engine, layers };
}

/** Lists the partners between the layer ranges that start at 0 and at 4. */
function partnersOf(holders: readonly ReturnType<typeof holder>[]): string[] {
  const positioned = assignGroupPositions(holders);
  const firsts = positioned.filter(({ layers }) => layers.from === 0);
  const seconds = positioned.filter(({ layers }) => layers.from === 4);
  return firsts.flatMap((first) =>
    seconds
      .filter((second) => arePartners(first, second))
      .map(
        (second) => `${first.engine.settings.id} ${second.engine.settings.id}`,
      ),
  );
}

describe("engine partners", () => {
  const engines = [
    holder("a1", "dar", 0),
    holder("a2", "tanga", 0),
    holder("b1", "dar", 4),
    holder("b2", "tanga", 4),
  ];

  it("do not depend on the order of engines and share a failure domain", () => {
    const expected = ["a1 b1", "a2 b2"];
    expect(partnersOf(engines)).toEqual(expected);
    expect(partnersOf([...engines].reverse())).toEqual(expected);
  });

  it("leave no engine without a partner when counts differ", () => {
    // One engine of a stage of three is lost. If an engine had no partner,
    // every answer through it would cross to engines that are already loaded.
    const three = [...engines, holder("a3", "unguja", 0)];
    expect(partnersOf(three)).toEqual(["a1 b1", "a2 b1", "a2 b2", "a3 b2"]);
  });
});

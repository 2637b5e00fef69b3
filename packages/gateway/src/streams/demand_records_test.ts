import type { ClassDemand, Demand } from "@rosemarypin/admission";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { decodeDemand, encodeDemand } from "./demand_records.ts";
import { createHashIndex } from "./usage_records.ts";

const SERVICES = ["chat", "code"];

const tokens = fc.integer({ min: 0, max: 2 ** 36 });
const classDemand: fc.Arbitrary<ClassDemand> = fc.record({
  arrivingPerSecond: tokens,
  waiting: tokens,
  held: tokens,
});

function newIndex(services: readonly string[] = SERVICES) {
  return createHashIndex(() => services);
}

function demandOf(...classes: readonly (readonly [number, number])[]): Demand {
  const entries = classes.map(
    ([priority, held]) =>
      [priority, { arrivingPerSecond: 0, waiting: 0, held }] as const,
  );
  return new Map([["chat", new Map(entries)]]);
}

function base64(...bytes: readonly number[]): string {
  return Buffer.from(bytes).toString("base64");
}

describe("records of demand", () => {
  it("decode to the demand that was encoded", () => {
    const classes = fc.uniqueArray(fc.tuple(fc.nat(15), classDemand), {
      selector: ([priority]) => priority,
      minLength: 1,
      maxLength: 16,
    });
    fc.assert(
      fc.property(classes, classes, (chat, code) => {
        const demand = new Map([
          ["chat", new Map(chat)],
          ["code", new Map(code)],
        ]);
        const text = encodeDemand(demand, newIndex());
        expect(decodeDemand(text, newIndex())).toEqual(demand);
      }),
      { seed: 5 },
    );
  });

  it("leave out services that aren't known", () => {
    const text = encodeDemand(demandOf([0, 500]), newIndex());
    expect(decodeDemand(text, newIndex(["code"]))).toEqual(new Map());
  });

  it("leave out the smallest of more than 32", () => {
    const services = ["a", "b", "c"];
    const demand = new Map(
      services.map((service, place) => [
        service,
        demandOf(
          ...Array.from(
            { length: 16 },
            (_, at) => [at, 100 * (place + 1) + at] as const,
          ),
        ).get("chat") ?? new Map(),
      ]),
    );
    const text = encodeDemand(demand, newIndex(services));
    const decoded = decodeDemand(text, newIndex(services));
    expect([...(decoded?.keys() ?? [])].sort()).toEqual(["b", "c"]);
  });

  it.each([
    ["cut off in a hash", base64(1, 2, 3)],
    ["cut off before the class", base64(1, 2, 3, 4)],
    ["cut off before the figures", base64(1, 2, 3, 4, 0)],
    ["cut off between the figures", base64(1, 2, 3, 4, 0, 1, 1)],
    ["cut off within a figure", base64(1, 2, 3, 4, 0, 1, 1, 0x81)],
    ["of an unknown class", base64(1, 2, 3, 4, 16, 1, 1, 1)],
    [
      "with a huge figure",
      base64(1, 2, 3, 4, 0, 1, 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f),
    ],
    [
      "with a figure that never ends",
      base64(1, 2, 3, 4, 0, 1, 1, ...Array<number>(12).fill(0xff)),
    ],
    [
      "too many",
      base64(
        ...Array.from({ length: 33 }, () => [1, 2, 3, 4, 0, 1, 1, 1]).flat(),
      ),
    ],
  ])("are invalid when they are %s", (_, text) => {
    expect(decodeDemand(text, newIndex())).toBeNull();
  });
});

import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createTokenOrder, type TokenEvent } from "./answer_token_order.ts";

function token(index: number): TokenEvent {
  return { type: "token", attempt: 1, index, text: `w${index}`, digest: "" };
}

describe("token order", () => {
  /**
   * A network fault repeats one token and delays another. For any order and
   * number of repeats, the tokens must be released in order, each once.
   */
  it("releases tokens in order, each once", () => {
    const seed = Number(process.env.SEED ?? 20_261);
    console.log(`seed ${seed}`);
    const arrivals = fc.integer({ min: 1, max: 40 }).chain((count) =>
      fc
        .array(fc.integer({ min: 0, max: count - 1 }), { maxLength: 40 })
        .chain((repeats) =>
          fc.shuffledSubarray([...Array(count).keys(), ...repeats], {
            minLength: count + repeats.length,
          }),
        )
        .map((order) => ({ count, order })),
    );
    const property = fc.property(arrivals, ({ count, order }) => {
      const tokens = createTokenOrder(0);
      const given = order.flatMap((index) => {
        const result = tokens.offer(token(index));
        return result.kind === "next" ? result.tokens : [];
      });
      expect(given.map(({ index }) => index)).toEqual([...Array(count).keys()]);
    });
    fc.assert(property, { seed });
  });

  /**
   * A token is lost while a fast engine keeps sending: the tokens buffered
   * behind the gap must not exhaust the instance's memory.
   */
  it("buffers a bounded number of tokens behind a gap", () => {
    const tokens = createTokenOrder(0);
    const results = Array.from({ length: 100 }, (_, index) =>
      tokens.offer(token(index + 1)),
    );
    expect(results.findIndex(({ kind }) => kind === "overflow")).toBe(64);
  });
});

import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createEventSplitter } from "./event_splitter.ts";

const text =
  "id: 1\ndata: a\n\nid: 2\r\ndata: id: 9\r\n\r\ndata: none\n\nid: 3\nda";

function split(chunks: readonly string[]) {
  const splitter = createEventSplitter();
  const events = chunks.flatMap((chunk) => splitter.push(Buffer.from(chunk)));
  return {
    events: events.map(({ id, bytes }) => ({ id, text: bytes.toString() })),
    rest: splitter.rest().toString(),
  };
}

describe("event splitter", () => {
  it("splits at blank lines and reads the id of each event", () => {
    expect(split([text])).toMatchInlineSnapshot(`
      {
        "events": [
          {
            "id": "1",
            "text": "id: 1
      data: a

      ",
          },
          {
            "id": "2",
            "text": "id: 2
      data: id: 9

      ",
          },
          {
            "id": null,
            "text": "data: none

      ",
          },
        ],
        "rest": "id: 3
      da",
      }
    `);
  });

  it("gives the same events for any chunk boundaries", () => {
    const whole = split([text]);
    const cuts = fc.uniqueArray(fc.integer({ min: 1, max: text.length - 1 }));
    const property = fc.property(cuts, (at) => {
      const ends = [0, ...at.sort((a, b) => a - b), text.length];
      const chunks = ends.slice(1).map((end, i) => text.slice(ends[i], end));
      expect(split(chunks)).toEqual(whole);
    });
    fc.assert(property);
  });
});

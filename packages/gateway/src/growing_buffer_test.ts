import fc from "fast-check";
import { expect, it } from "vitest";
import { createGrowingBuffer } from "./growing_buffer.ts";

// Guards against bytes that are lost, repeated or overwritten by later ones.
it("holds the bytes that were appended and not dropped", () => {
  const step = fc.record({
    chunk: fc.string({ maxLength: 40 }),
    drop: fc.nat(40),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const buffer = createGrowingBuffer();
      const views: [Buffer, string][] = [];
      let expected = "";
      for (const { chunk, drop } of steps) {
        buffer.append(Buffer.from(chunk, "latin1"));
        expected += Buffer.from(chunk, "latin1").toString("latin1");
        views.push([buffer.bytes(), expected]);
        const dropped = Math.min(drop, expected.length);
        buffer.dropFirst(dropped);
        expected = expected.slice(dropped);
      }
      for (const [view, text] of views)
        expect(view.toString("latin1")).toBe(text);
    }),
  );
});

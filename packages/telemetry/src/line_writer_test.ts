import { describe, expect, it } from "vitest";
import { createLineWriter, type WriteBytes } from "./line_writer.ts";

/** Creates a writer to a fake descriptor that completes a write per `read`. */
function setUp() {
  const written: string[] = [];
  const pending: (() => void)[] = [];
  const writeBytes: WriteBytes = (bytes, done) => {
    pending.push(() => {
      written.push(bytes.toString());
      done(null, bytes.length);
    });
  };
  const writer = createLineWriter(writeBytes);
  return {
    writer,
    text: () => written.join(""),
    async read() {
      await new Promise((resolve) => setImmediate(resolve));
      pending.shift()?.();
    },
  };
}

const ordinary = { isWarning: false };
const warning = { isWarning: true };

describe("log line writer", () => {
  it("writes the lines of one turn together and in order", async () => {
    const { writer, text, read } = setUp();
    writer.line("a\n", ordinary);
    writer.line("b\n", warning);
    await read();
    expect(text()).toBe("a\nb\n");
  });

  it("queues a bounded number of lines while the reader hangs", async () => {
    // If the log collector hangs, the pipe fills up. A process that waits for
    // it stops answering; one that keeps every line runs out of memory.
    const { writer, text, read } = setUp();
    const line = `${"x".repeat(99)}\n`;
    for (let count = 0; count < 20_000; count += 1) writer.line(line, ordinary);
    writer.line("the cause of a refusal\n", warning);
    await read();
    await read();
    await read();
    expect(text().length).toBeLessThan(256 * 1024);
    expect(text()).toContain("the cause of a refusal");
    const counted = Number(/left_out count=(\d+)/.exec(text())?.[1]);
    const kept = text().match(/x{99}/g)?.length ?? 0;
    expect(counted + kept).toBe(20_000);
  });

  it("retries a write that failed with EAGAIN", async () => {
    let isPipeFull = true;
    const written: string[] = [];
    const writer = createLineWriter((bytes, done) => {
      if (isPipeFull)
        return done(Object.assign(new Error(), { code: "EAGAIN" }), 0);
      written.push(bytes.toString());
      done(null, bytes.length);
    });
    writer.line("a\n", ordinary);
    await new Promise((resolve) => setTimeout(resolve, 30));
    isPipeFull = false;
    await writer.flush(1_000);
    expect(written).toEqual(["a\n"]);
  });
});

import { format } from "node:util";
import debug from "debug";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createLogger } from "./log.ts";

let lines: string[] = [];
const write = debug.log;

beforeEach(() => {
  lines = [];
  debug.log = (...args: unknown[]) => {
    lines.push(format(...args));
  };
  debug.enable("rosemarypin:*");
});

afterEach(() => {
  debug.log = write;
  debug.disable();
});

describe("logger", () => {
  it("writes an event as one line of key=value pairs, whatever its values contain", () => {
    // The cast allows an event and fields that are not in the catalogue.
    const write = createLogger("test").info as (...line: unknown[]) => void;
    write("happened", {
      plain: "a-b.c",
      number: 7,
      flag: false,
      spaced: "two words",
      equals: "a=b",
      quoted: 'say "no"',
      broken: "line\nevent=forged",
      empty: "",
      absent: undefined,
    });
    expect(lines).toHaveLength(1);
    const text = (lines[0] ?? "").replace(/time=\S+/, "time=NOW");
    expect(text).toMatchInlineSnapshot(
      `"time=NOW scope=rosemarypin:test:info event=happened plain=a-b.c number=7 flag=false spaced="two words" equals="a=b" quoted="say \\"no\\"" broken="line\\nevent=forged" empty="""`,
    );
  });

  it("accepts only events and fields of the catalogue", () => {
    const log = createLogger("test");
    log.info("server_back", { id: "e", after_ms: 150 });
    // @ts-expect-error: no such event
    log.info("server_came_back", { id: "e" });
    // @ts-expect-error: no such field of this event
    log.info("server_back", { server: "e" });
    expect(lines).toHaveLength(3);
  });
});

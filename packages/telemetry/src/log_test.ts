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

describe("a log line", () => {
  it("is one line of pairs, whatever the values", () => {
    createLogger("test").info("happened", {
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
});

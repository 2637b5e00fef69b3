import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";
import { readGuards, switchOff } from "./guard_list.ts";

const ROOT = fileURLToPath(new URL("../../../../", import.meta.url));
const guards = readGuards(`${ROOT}packages/checks/guards.yaml`);

/**
 * `check:guards` is too slow for CI. Code that moves would leave its list
 * behind, and the guards would go unproved until somebody runs it.
 */
describe("the committed list of guards", () => {
  it.each(guards)("finds the guard and the test of: $name", (guard) => {
    const source = readFileSync(`${ROOT}${guard.file}`, "utf8");
    expect(switchOff(guard, source)).not.toBe(source);
    const tests = readFileSync(`${ROOT}${guard.testFile}`, "utf8");
    expect(tests).toContain(guard.test);
  });

  it("refuses a text that stands twice", () => {
    const [guard] = guards;
    if (!guard) throw new Error("the list is empty");
    const twice = `${guard.text}\n${guard.text}`;
    expect(() => switchOff(guard, twice)).toThrow("stands 2 times");
  });
});

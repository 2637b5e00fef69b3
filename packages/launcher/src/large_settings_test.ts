import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import { afterAll, describe, expect, it } from "vitest";
import { stringify } from "yaml";
import { planDeployment } from "./deployment_plan.ts";
import { kanemShape } from "./kanem.ts";

const ORGANISATIONS = 6_400;
const program = fileURLToPath(
  new URL("../../daemon/bin/rosemarypind.js", import.meta.url),
);
const folder = mkdtempSync(join(tmpdir(), "rosemarypin-settings-"));
const run = promisify(execFile);

afterAll(() => rmSync(folder, { recursive: true }));

async function check(weightOf: (index: number) => number) {
  const { daemons } = await planDeployment(kanemShape);
  const organisations = Array.from({ length: ORGANISATIONS }, (_, index) => ({
    name: `organisation-${index}`,
    keySha256: index.toString(16).padStart(64, "0"),
    weight: weightOf(index),
  }));
  const file = join(folder, "settings.yaml");
  writeFileSync(file, stringify({ ...daemons[0], organisations }));
  const args = [program, "--settings", file, "--check"];
  try {
    const { stdout } = await run(process.execPath, args);
    return { code: 0, lines: stdout.trim().split("\n") };
  } catch (error) {
    const { code, stderr } = error as { code: number; stderr: string };
    return { code, lines: stderr.trim().split("\n") };
  }
}

describe("a settings file with every organisation of a large deployment", () => {
  it("is checked like a small one", async () => {
    const { code, lines } = await check(() => 1);
    expect(code).toBe(0);
    expect(lines.join()).toContain("valid");
  });

  it("names the line of the one thing that is wrong", async () => {
    const { code, lines } = await check((index) => (index === 6_000 ? -1 : 1));
    expect(code).toBe(2);
    expect(lines).toHaveLength(1);
    expect(lines[0]).toMatch(/:\d+: organisations\[6000\]\.weight: /);
  });

  it("does not bury the first problems under all the others", async () => {
    // One wrong habit in a generated file gave 6,400 lines, and the first
    // ones had left the operator's terminal.
    const { code, lines } = await check(() => -1);
    expect(code).toBe(2);
    expect(lines).toHaveLength(51);
    expect(lines.at(-1)).toContain("6350 more problems");
  });
});

/** A copy of the workspace in which guards are switched off. */
import { spawn } from "node:child_process";
import { once } from "node:events";
import {
  cpSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { basename, join } from "node:path";

/** What tests need; but for that of the bundle, they never build. */
const COPIED = [
  "deploy",
  "examples",
  "packages",
  "platform",
  "tools",
  "package.json",
  "tsconfig.base.json",
  "tsconfig.json",
  "vitest.config.ts",
];
const LEFT_OUT = new Set(["dist", "node_modules"]);

/** How many of the named tests passed and failed. */
export interface TestCounts {
  readonly passed: number;
  readonly failed: number;
}

export interface ScratchCopy {
  read(file: string): string;
  write(file: string, text: string): void;
  runTest(options: {
    readonly file: string;
    readonly name: string;
  }): Promise<TestCounts>;
  remove(): void;
}

/** Copies the workspace at `root` into a folder of its own. */
export function createScratchCopy(root: string): ScratchCopy {
  const folder = mkdtempSync(join(tmpdir(), "rosemarypin-guards-"));
  for (const name of COPIED) {
    cpSync(join(root, name), join(folder, name), {
      recursive: true,
      filter: (source) => !LEFT_OUT.has(basename(source)),
    });
  }
  symlinkSync(join(root, "node_modules"), join(folder, "node_modules"));
  const report = join(folder, "report.json");

  return {
    read: (file) => readFileSync(join(folder, file), "utf8"),
    write: (file, text) => writeFileSync(join(folder, file), text),
    async runTest({ file, name }) {
      rmSync(report, { force: true });
      const vitest = join(root, "node_modules/vitest/vitest.mjs");
      const pattern = name.replaceAll(/[.*+?^${}()|[\]\\]/g, "\\$&");
      const args = ["run", file, "-t", pattern, "--reporter=json"];
      const child = spawn(
        process.execPath,
        [vitest, ...args, `--outputFile=${report}`],
        { cwd: folder, stdio: "ignore" },
      );
      await once(child, "exit");
      return readCounts(report);
    },
    remove: () => rmSync(folder, { recursive: true, force: true }),
  };
}

/** A run that ended without a report counts as no test at all. */
function readCounts(report: string): TestCounts {
  try {
    const { numPassedTests, numFailedTests } = JSON.parse(
      readFileSync(report, "utf8"),
    ) as { numPassedTests: number; numFailedTests: number };
    return { passed: numPassedTests, failed: numFailedTests };
  } catch {
    return { passed: 0, failed: 0 };
  }
}

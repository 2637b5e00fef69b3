import { readdirSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { configDefaults, defineConfig } from "vitest/config";

const root = fileURLToPath(new URL(".", import.meta.url));

/** Tests run against the sources; started processes run from `dist`. */
const alias = Object.fromEntries([
  ["@rosemarypin/platform/stand_in", `${root}platform/src/stand_in/mod.ts`],
  ...readdirSync(`${root}packages`).map((name) => [
    `@rosemarypin/${name}`,
    `${root}packages/${name}/src/mod.ts`,
  ]),
  ["@rosemarypin/platform", `${root}platform/src/mod.ts`],
]);

/** Tests that load whole processes: one at a time, after all others. */
const CROWDS = "packages/checks/src/crowds/*_test.ts";

export default defineConfig({
  resolve: { alias },
  test: {
    testTimeout: 60_000,
    hookTimeout: 60_000,
    projects: [
      {
        extends: true,
        test: {
          name: "tests",
          include: ["packages/*/src/**/*_test.ts", "platform/src/**/*_test.ts"],
          exclude: [...configDefaults.exclude, CROWDS],
          sequence: { groupOrder: 0 },
        },
      },
      {
        extends: true,
        test: {
          name: "crowds",
          include: [CROWDS],
          fileParallelism: false,
          maxWorkers: 1,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});

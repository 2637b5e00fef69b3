import { readdirSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { defineConfig } from "vitest/config";

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

export default defineConfig({
  resolve: { alias },
  test: {
    include: ["packages/*/src/**/*_test.ts", "platform/src/**/*_test.ts"],
    testTimeout: 60_000,
    hookTimeout: 60_000,
  },
});

/**
 * Installs the locked dependencies when they are missing or older than the
 * lock file, so that `npm test` and `npm run demo` work in a fresh clone.
 */
import { spawnSync } from "node:child_process";
import { existsSync, statSync } from "node:fs";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const installed = `${root}node_modules/.package-lock.json`;
const lock = `${root}package-lock.json`;

function isInstalled() {
  if (!existsSync(installed)) return false;
  return statSync(installed).mtimeMs >= statSync(lock).mtimeMs;
}

if (!isInstalled()) {
  const result = spawnSync("npm", ["ci", "--no-audit", "--no-fund"], {
    cwd: root,
    stdio: "inherit",
  });
  process.exit(result.status ?? 1);
}

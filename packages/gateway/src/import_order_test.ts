import { readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { expect, it } from "vitest";

/** Folders in dependency order: each may import from earlier ones only. */
const FOLDERS = [
  "following",
  "backends",
  "callers",
  "forwarding",
  "handoff",
  "prompts",
  "plain",
  "streams",
  "placement",
  "operators",
];

function filesOf(folder: string): string[] {
  const path = fileURLToPath(new URL(`./${folder}`, import.meta.url));
  return readdirSync(path)
    .filter((name) => name.endsWith(".ts"))
    .map((name) => `${path}/${name}`);
}

function importsOf(file: string): string[] {
  const matches = readFileSync(file, "utf8").matchAll(/from "(\.[^"]+)"/g);
  return [...matches].map(([, target]) => target ?? "");
}

it.each(FOLDERS)(
  "folder %s imports only from the mod.ts of earlier folders",
  (folder) => {
    const allowed = FOLDERS.slice(0, FOLDERS.indexOf(folder));
    const wrong = filesOf(folder).flatMap((file) =>
      importsOf(file).filter((target) => {
        const [, used, entry] = target.split("/");
        if (!target.startsWith("../") || !entry) return false;
        return !allowed.includes(used ?? "") || entry !== "mod.ts";
      }),
    );
    expect(wrong).toEqual([]);
  },
);

it("import order covers every folder", () => {
  const path = fileURLToPath(new URL(".", import.meta.url));
  const folders = readdirSync(path, { withFileTypes: true })
    .filter((entry) => entry.isDirectory())
    .map(({ name }) => name);
  expect(folders.sort()).toEqual([...FOLDERS].sort());
});

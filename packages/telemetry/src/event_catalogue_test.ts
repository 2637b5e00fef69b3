import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";
import { EVENT_GROUPS, EVENTS, renderEventPage } from "./event_catalogue.ts";

const root = fileURLToPath(new URL("../../../", import.meta.url));
const PAGE_PATH = join(root, "docs/operations/log-events.md");
const CATALOGUE_FILE = "event_catalogue.ts";

function readSources(): string[] {
  const packages = readdirSync(join(root, "packages"));
  const folders = [...packages.map((name) => `packages/${name}`), "platform"];
  return folders.flatMap((folder) => {
    const source = join(root, folder, "src");
    return readdirSync(source, { recursive: true, encoding: "utf8" })
      .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"))
      .filter((file) => !file.endsWith(CATALOGUE_FILE))
      .map((file) => readFileSync(join(source, file), "utf8"));
  });
}

describe("event catalogue", () => {
  it("names each event once, in lower case", () => {
    const names = Object.values(EVENT_GROUPS).flatMap(Object.keys);
    expect(names).toHaveLength(EVENTS.size);
    for (const name of names) expect(name).toMatch(/^[a-z]+(_[a-z]+)*$/);
  });

  it("matches the generated page for operators", async () => {
    await expect(renderEventPage()).toMatchFileSnapshot(PAGE_PATH);
  });

  it("contains every event that the sources log", () => {
    // An event that is missing from the catalogue is missing from the
    // operators' page, so an engineer on call can't find out what it means.
    const loggedNames = readSources().flatMap((text) =>
      [...text.matchAll(/\blog\.(?:info|warn|detail)\(\s*"(\w+)"/g)].map(
        ([, name]) => name ?? "",
      ),
    );
    expect(loggedNames.length).toBeGreaterThan(50);
    expect(loggedNames.filter((name) => !EVENTS.has(name))).toEqual([]);
  });

  it("contains no event that the sources never log", () => {
    const text = readSources().join("\n");
    const unusedNames = [...EVENTS.keys()].filter((name) => {
      const suffix = name.replace(/^peer_/, "");
      return !text.includes(`"${name}"`) && !text.includes(`"${suffix}"`);
    });
    expect(unusedNames).toEqual([]);
  });
});

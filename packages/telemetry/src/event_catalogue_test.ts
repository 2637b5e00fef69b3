import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";
import { EVENT_GROUPS, EVENTS, renderEventPage } from "./event_catalogue.ts";

const root = fileURLToPath(new URL("../../../", import.meta.url));
const PAGE = join(root, "docs/operations/log-events.md");
const CATALOGUE = "event_catalogue.ts";

function sources(): string[] {
  const packages = readdirSync(join(root, "packages"));
  const folders = [...packages.map((name) => `packages/${name}`), "platform"];
  return folders.flatMap((folder) => {
    const source = join(root, folder, "src");
    return readdirSync(source, { recursive: true, encoding: "utf8" })
      .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"))
      .filter((file) => !file.endsWith(CATALOGUE))
      .map((file) => readFileSync(join(source, file), "utf8"));
  });
}

describe("the catalogue of events", () => {
  it("names each event once, in lower case", () => {
    const names = Object.values(EVENT_GROUPS).flatMap(Object.keys);
    expect(names).toHaveLength(EVENTS.size);
    for (const name of names) expect(name).toMatch(/^[a-z]+(_[a-z]+)*$/);
  });

  it("is the page that operators read", async () => {
    await expect(renderEventPage()).toMatchFileSnapshot(PAGE);
  });

  it("holds every line that the sources write", () => {
    // A line whose event nobody looked up in the catalogue has no page that
    // says what it means, when an engineer on call meets it.
    const written = sources().flatMap((text) =>
      [...text.matchAll(/\blog\.(?:info|warn|detail)\(\s*"(\w+)"/g)].map(
        ([, name]) => name ?? "",
      ),
    );
    expect(written.length).toBeGreaterThan(50);
    expect(written.filter((name) => !EVENTS.has(name))).toEqual([]);
  });

  it("holds no event that nothing writes", () => {
    const text = sources().join("\n");
    const unwritten = [...EVENTS.keys()].filter((name) => {
      const ending = name.replace(/^peer_/, "");
      return !text.includes(`"${name}"`) && !text.includes(`"${ending}"`);
    });
    expect(unwritten).toEqual([]);
  });
});

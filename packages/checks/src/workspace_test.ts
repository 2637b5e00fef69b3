import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";

const root = fileURLToPath(new URL("../../../", import.meta.url));
const scope = "@rosemarypin/";

const names = readdirSync(join(root, "packages"));

/** Rows of the package map, the lowest first. */
const layers = readFileSync(join(root, "docs/ARCHITECTURE.md"), "utf8")
  .split("\n")
  .flatMap((line) => /^\| (\d+) +\| (.+?) +\|/.exec(line)?.[2] ?? [])
  .map((cell) => [...cell.matchAll(/`(\w+)`/g)].map(([, name]) => name ?? ""));

type DependencyKind = "dependencies" | "devDependencies";

function dependenciesOf(
  name: string,
  kind: DependencyKind = "dependencies",
): string[] {
  const file = join(root, "packages", name, "package.json");
  const manifest = JSON.parse(readFileSync(file, "utf8")) as {
    readonly [key in DependencyKind]?: Record<string, string>;
  };
  return Object.keys(manifest[kind] ?? {});
}

function sourcesOf(name: string): string[] {
  const folder = join(root, "packages", name, "src");
  return readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".ts"))
    .map((file) => join(folder, file));
}

/** Packages that a source file imports, of the workspace or not. */
function importsOf(file: string): string[] {
  const text = readFileSync(file, "utf8");
  const found = [
    ...text.matchAll(/^(?:import|\} from|.* from) "([^".][^"]*)"/gm),
  ];
  return found
    .map(([, specifier = ""]) => specifier)
    .filter((specifier) => !specifier.startsWith("node:"))
    .map((specifier) => {
      const parts = specifier.split("/");
      return parts.slice(0, specifier.startsWith("@") ? 2 : 1).join("/");
    });
}

function layerOf(name: string): number {
  return layers.findIndex((layer) => layer.includes(name));
}

describe("the package map of docs/ARCHITECTURE.md", () => {
  it("names each package once", () => {
    expect(layers.flat().sort()).toEqual([...names].sort());
  });

  it.each(names)("has %s depend on lower layers only", (name) => {
    const above = dependenciesOf(name)
      .filter((dependency) => dependency.startsWith(scope))
      .map((dependency) => dependency.slice(scope.length))
      .filter((dependency) => layerOf(dependency) >= layerOf(name));
    expect(above).toEqual([]);
  });
});

describe("imports", () => {
  /**
   * What any test may import: tools of the workspace's own package.json, and
   * the private packages that take the place of what surrounds the product.
   */
  const tools = [
    "vitest",
    "fast-check",
    `${scope}fakes`,
    `${scope}stand_ins`,
    `${scope}launcher`,
    `${scope}checks`,
  ];

  it.each(names)("of %s are in its package.json", (name) => {
    const allowed = new Set(dependenciesOf(name));
    const inTests = [...tools, ...dependenciesOf(name, "devDependencies")];
    const wrong = sourcesOf(name).flatMap((file) => {
      const isTest = file.endsWith("_test.ts");
      return importsOf(file)
        .filter((imported) => !allowed.has(imported))
        .filter((imported) => !(isTest && inTests.includes(imported)))
        .map((imported) => `${file.slice(root.length)}: ${imported}`);
    });
    expect(wrong).toEqual([]);
  });

  it.each(names)("of %s never reach into another package", (name) => {
    const wrong = sourcesOf(name).filter((file) =>
      /from "(\.\.\/)+(packages|\w+\/src)\//.test(readFileSync(file, "utf8")),
    );
    expect(wrong).toEqual([]);
  });
});

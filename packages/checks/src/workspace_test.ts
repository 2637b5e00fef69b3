import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";

const root = fileURLToPath(new URL("../../../", import.meta.url));
const scope = "@rosemarypin/";

/** The folder of the users' platform stands apart, at the root. */
const PLATFORM = "platform";
const names = [...readdirSync(join(root, "packages")), PLATFORM];

function folderOf(name: string): string {
  return name === PLATFORM ? join(root, name) : join(root, "packages", name);
}

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
  const file = join(folderOf(name), "package.json");
  const manifest = JSON.parse(readFileSync(file, "utf8")) as {
    readonly [key in DependencyKind]?: Record<string, string>;
  };
  return Object.keys(manifest[kind] ?? {});
}

function sourcesOf(name: string): string[] {
  const folder = join(folderOf(name), "src");
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

describe("the platform's names", () => {
  /** Headers, paths and fields that only the platform's own pages use. */
  const foreign = [
    /x-(target-instance|hop-count|engine-signature|not-executed|token-count|credential|tenant|request-priority|deadline\b(?!-ms)|prompt-prefix|weight-versions|expect-version|length-hint)/i,
    /\bat-server\b/i,
    /\/-\/(ready|report|order|objects)/,
    /\b(gap_aim_ms|goal_ms|kv_bytes|layer_mb|read_x|act_bytes|store_revision|create_revision|api_keys|config_apply_ms|max_attempts|path_prefix|internal_ports|node_name)\b/,
  ];
  const others = names.filter((name) => name !== PLATFORM);

  it.each(others)("stand nowhere in %s", (name) => {
    // A name of the platform outside its folder ties the product to it: a
    // change there would have to be followed here too.
    const found = sourcesOf(name)
      .filter((file) => !file.endsWith("workspace_test.ts"))
      .flatMap((file) => {
        const text = readFileSync(file, "utf8");
        return foreign
          .filter((pattern) => pattern.test(text))
          .map((pattern) => `${file.slice(root.length)}: ${pattern}`);
      });
    expect(found).toEqual([]);
  });
});

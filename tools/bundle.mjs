/**
 * Makes the daemon for the users' platform under `target/`: one script, a
 * cache of its compiled code, and the program that starts it with the cache.
 * After a crash callers wait for the start, most of which would be compiling.
 */
import { spawnSync } from "node:child_process";
import { copyFileSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

const root = fileURLToPath(new URL("..", import.meta.url));
const target = `${root}target/`;

/** Packages of the workspace are bundled from their sources. */
const workspaceSources = {
  name: "workspace-sources",
  setup(builder) {
    builder.onResolve({ filter: /^@rosemarypin\// }, ({ path }) => {
      const name = path.slice("@rosemarypin/".length);
      const folder = name === "platform" ? name : `packages/${name}`;
      const mod = `${root}${folder}/src/mod.ts`;
      return { path: mod, sideEffects: false };
    });
  },
};

/** Entries that load less of a library than its own does, by their import. */
const LEAN_ENTRIES = new Map([
  ["undici", "undici.mjs"],
  ["prom-client", "prom_client.mjs"],
  ["./client-h2.js", "no_http2.mjs"],
]);

const leanLibraries = {
  name: "lean-libraries",
  setup(builder) {
    const filter = /^(undici|prom-client|\.\/client-h2\.js)$/;
    builder.onResolve({ filter }, ({ path }) => ({
      path: `${root}tools/bundle_entries/${LEAN_ENTRIES.get(path)}`,
    }));
  },
};

/**
 * Flags of Node.js with which the daemon is started. A code cache is rejected
 * by a process whose flags differ from those of the process that made it.
 */
function runtimeFlags() {
  const deployment = readFileSync(`${root}deploy/system.toml`, "utf8");
  const [, command = ""] = /^run = "node (.*)"$/m.exec(deployment) ?? [];
  return command.split(" ").filter((word) => word.startsWith("--"));
}

/** Leaves out modules that nothing uses; some of them await at their top. */
async function shake() {
  const { outputFiles } = await build({
    entryPoints: [`${root}platform/src/main.ts`],
    bundle: true,
    platform: "node",
    format: "esm",
    target: "node20",
    write: false,
    plugins: [workspaceSources, leanLibraries],
  });
  return outputFiles[0].text.replace(/^#!.*/, "");
}

/** Makes a script of the module: the code cache takes scripts only. */
async function makeScript(contents) {
  await build({
    stdin: { contents, resolveDir: root, sourcefile: "rosemarypind.mjs" },
    outfile: `${target}rosemarypind_script.js`,
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    minify: true,
    define: { "import.meta": "importMeta" },
    banner: {
      js: 'const importMeta={url:require("node:url").pathToFileURL(__filename).href};',
    },
  });
}

/** Functions that a check of settings calls are in the cache, compiled. */
function cacheCode() {
  const program = `${target}rosemarypind.cjs`;
  copyFileSync(`${root}tools/cached_start.cjs`, program);
  const settings = `${root}examples/platform_settings.json`;
  const made = spawnSync(
    process.execPath,
    [
      ...runtimeFlags(),
      program,
      "--make-code-cache",
      "--settings",
      settings,
      "--check",
    ],
    { stdio: ["ignore", "ignore", "inherit"] },
  );
  if (made.status !== 0) throw new Error("the code cache was not made");
}

await makeScript(await shake());
cacheCode();

/**
 * Starts the daemon from its script and the cache of its compiled code. A
 * cache of another version of Node.js, or made with other flags, is rejected.
 */
// Until the daemon has set its own handlers, a signal would end the process. One
// that arrives meanwhile is delivered to those handlers, once the script has run.
for (const signal of ["SIGTERM", "SIGHUP"]) process.on(signal, () => {});

const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { constants, Script } = require("node:vm");

const MAKE_CACHE = "--make-code-cache";

const filename = join(__dirname, "rosemarypind_script.js");
const cacheFile = join(__dirname, "rosemarypind_script.cache");
const makesCache = process.argv[2] === MAKE_CACHE;

const source = readFileSync(filename, "utf8");
const parameters = "exports, require, module, __filename, __dirname";
const script = new Script(`(function (${parameters}) {${source}\n})`, {
  filename,
  cachedData:
    !makesCache && existsSync(cacheFile) ? readFileSync(cacheFile) : undefined,
  importModuleDynamically: constants.USE_MAIN_CONTEXT_DEFAULT_LOADER,
});

if (script.cachedDataRejected) {
  console.warn("event=code_cache_rejected reason=other_version_or_flags");
}
if (makesCache) process.argv.splice(2, 1);
const daemon = { exports: {} };
script.runInThisContext()(daemon.exports, require, daemon, filename, __dirname);
if (makesCache) {
  process.once("exit", () => {
    writeFileSync(cacheFile, script.createCachedData());
  });
}

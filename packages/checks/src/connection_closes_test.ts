import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { CLOSE_CAUSES } from "@rosemarypin/connections";
import { describe, expect, it } from "vitest";

const root = fileURLToPath(new URL("../../../", import.meta.url));
const PAGE = "docs/design/052-closes-of-connections.md";

/** What serves callers; `backends` is the other side of the gateway. */
const FOLDERS = ["connections", "gateway", "daemon"];
const OTHER_SIDE = /\/(backends|contract|openapi)\/|_test\.ts$/;
/** Declares the functions that close. */
const MECHANISM = "packages/connections/src/close_cause.ts";

const CLOSES = [
  /\b(?:socket|request|response)\??\.(?:destroy|destroySoon|resetAndDestroy)\(/,
  /\bsocket\??\.end\(/,
  /\bcloseConnection\(/,
  /recordCloseCause\(socket, "idle"\)/,
  /shouldKeepAlive = false/,
  /[cC]onnection"?(?::| =) "close"/,
  /\bclose(?:All|Idle)Connections\(/,
  /\bcallers\.close(?:All|Idle)\b/,
];

interface Row {
  readonly file: string;
  readonly code: string;
  readonly cause: string;
  readonly testFile: string;
  readonly test: string;
}

const rows: Row[] = readFileSync(join(root, PAGE), "utf8")
  .split("\n")
  .flatMap((line) => {
    const cells = line.split(" | ").map((cell) => cell.replace(/^\| /, ""));
    const [file = "", code = "", cause = "", , guard = ""] = cells;
    const [, testFile, test] = /^`([^`]+)`: (.*?) *\|?$/.exec(guard) ?? [];
    if (testFile === undefined || test === undefined) return [];
    const [plainFile = "", plainCode = "", plainCause = ""] = [
      file,
      code,
      cause,
    ].map((cell) => cell.trim().replace(/^`|`$/g, ""));
    const place = { file: plainFile, code: plainCode, cause: plainCause };
    return [{ ...place, testFile, test }];
  });

/** Lines of code that close a connection or announce its close. */
function closesOf(file: string): string[] {
  return readFileSync(join(root, file), "utf8")
    .split("\n")
    .map((line) => line.trim())
    .filter((line) => CLOSES.some((pattern) => pattern.test(line)));
}

const files = FOLDERS.flatMap((name) => {
  const folder = `packages/${name}/src`;
  return readdirSync(join(root, folder), { recursive: true, encoding: "utf8" })
    .map((file) => `${folder}/${file}`)
    .filter((file) => file.endsWith(".ts") && !OTHER_SIDE.test(file))
    .filter((file) => file !== MECHANISM);
});

describe(`the closes of callers' connections in ${PAGE}`, () => {
  // Guards against a close that ends a connection on which a whole request is
  // unanswered.
  it("have a row for each line of code that closes one", () => {
    const missing = files.flatMap((file) =>
      closesOf(file)
        .filter(
          (line) =>
            !rows.some((row) => row.file === file && line.includes(row.code)),
        )
        .map((line) => `${file}: ${line}`),
    );
    expect(missing).toEqual([]);
  });

  it("name code that is there", () => {
    const stale = rows.filter(({ file, code }) => {
      const path = join(root, file);
      return !existsSync(path) || !readFileSync(path, "utf8").includes(code);
    });
    expect(stale).toEqual([]);
  });

  it("name known causes, and each of them", () => {
    const named = new Set(rows.map(({ cause }) => cause));
    const causes = CLOSE_CAUSES.filter((cause) => cause !== "unexplained");
    expect([...named].sort()).toEqual([...causes].sort());
  });

  it("name tests that are there", () => {
    const stale = rows.filter(({ testFile, test }) => {
      const path = join(root, testFile);
      return (
        !existsSync(path) || !readFileSync(path, "utf8").includes(test.trim())
      );
    });
    expect(stale).toEqual([]);
  });
});

/**
 * Prints how many tests passed and failed, from vitest's JSON report, and
 * exits non-zero if a test or an earlier check (first argument) failed. Tests
 * that KNOWN-RED.txt lists are run and printed, and fail nothing. A line there
 * begins with FILE > NAME of the test, up to " | ". A runner that failed
 * (second argument) without a failed test had an error outside of all tests.
 */
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const report = JSON.parse(readFileSync("test-results.json", "utf8"));
const checksFailed = Number(process.argv[2] ?? 0);
const testsExit = Number(process.argv[3] ?? 0);
const known = new Set(
  readFileSync(`${root}KNOWN-RED.txt`, "utf8")
    .split("\n")
    .map((line) => line.split(" | ")[0].trim())
    .filter((name) => name !== ""),
);

const failures = report.testResults.flatMap((file) => {
  const path = file.name.startsWith(root)
    ? file.name.slice(root.length)
    : file.name;
  const failed = file.assertionResults
    .filter(({ status }) => status === "failed")
    .map(({ ancestorTitles, title }) =>
      [path, ...ancestorTitles, title].join(" > "),
    );
  // A file that could not be loaded has no test of its own to fail.
  const isBroken = file.status === "failed" && failed.length === 0;
  return isBroken ? [path] : failed;
});
if (testsExit !== 0 && failures.length === 0) {
  failures.push("an error outside of all tests");
}
const unknown = failures.filter((name) => !known.has(name));
for (const name of failures.filter((one) => known.has(one))) {
  console.log(`known red, failed in this run: ${name}`);
}
console.log(`${report.numPassedTests} passed, ${unknown.length} failed`);
process.exit(unknown.length > 0 || checksFailed > 0 ? 1 : 0);

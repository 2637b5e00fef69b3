/**
 * Prints how many tests passed and failed, from vitest's JSON report, and
 * exits non-zero if a test or an earlier check (first argument) failed.
 */
import { readFileSync } from "node:fs";

const report = JSON.parse(readFileSync("test-results.json", "utf8"));
const checksFailed = Number(process.argv[2] ?? 0);
const failed = report.numFailedTests + report.numFailedTestSuites;
console.log(`${report.numPassedTests} passed, ${failed} failed`);
process.exit(failed > 0 || checksFailed > 0 ? 1 : 0);

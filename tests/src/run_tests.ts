/**
 * Runs test files: `run_tests.js CONCURRENCY FILE...`. Failures that
 * KNOWN-RED.txt lists are printed and tolerated; any other fails the run.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { resolve } from "node:path";
import { run } from "node:test";
import { tap } from "node:test/reporters";
import {
  findKnownFailure,
  parseKnownFailures,
} from "./support/known_failures.js";

const KNOWN_RED_URL = new URL("../../KNOWN-RED.txt", import.meta.url);

const [concurrency, ...files] = process.argv.slice(2);
if (files.length === 0) throw new RangeError("Expected at least one test file");
const knownFailures = parseKnownFailures(readKnownFailures());
const toleratedFailures = new Set<string>();
const stream = run({
  files: files.map((file) => resolve(file)).sort(),
  concurrency: Number(concurrency),
});
stream.on("test:fail", (failure) => {
  // Skip suites and files that failed only because one of their tests failed.
  if (isSubtestFailure(failure.details.error)) return;
  const entry = findKnownFailure(knownFailures, {
    file: failure.file ?? "",
    name: failure.name,
  });
  if (entry === undefined) process.exitCode = 1;
  else toleratedFailures.add(entry.text);
});
stream.on("end", () => {
  for (const text of toleratedFailures) {
    process.stdout.write(`# tolerated known failure: ${text}\n`);
  }
});
stream.compose(tap).pipe(process.stdout);

function readKnownFailures(): string {
  try {
    return readFileSync(KNOWN_RED_URL, "utf8");
  } catch {
    return "";
  }
}

function isSubtestFailure(error: Error): boolean {
  return "failureType" in error && error.failureType === "subtestsFailed";
}

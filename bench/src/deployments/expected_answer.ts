/**
 * The inputs that the benchmark sends and the outputs that it expects.
 *
 * @module
 */

import type { Pipeline, Stage } from "@sassafrasstage/protocol/rules";
import {
  expectedPlainOutput,
  expectedText,
  makeMarker,
} from "@sassafrasstage/stand-ins/backend_servers/expected_output";
import { isDeepStrictEqual } from "node:util";
import type { Arrival } from "../load/arrivals.js";

/** Longer than the part of a prompt that engines treat as its prefix. */
const INSTRUCTIONS_LENGTH = 80;

/**
 * Makes a text with a prefix common to the client account and pipeline, and a
 * marker unique to the request.
 *
 * @example
 * ```ts
 * makeInput(arrival); // "Instructions of … <<r-17>>"
 * ```
 */
export function makeInput(arrival: Arrival): string {
  const { clientAccount, pipeline, serial } = arrival;
  const instructions = `Instructions of ${clientAccount} for ${pipeline} `;
  return `${instructions.padEnd(INSTRUCTIONS_LENGTH, ".")} ${
    makeMarker(`r-${serial}`)
  }`;
}

/**
 * Whether the output is the one expected for the input. A non-idempotent stage
 * issues a number, so only the marker and operation are compared there.
 *
 * @example
 * ```ts
 * isExpectedOutput(pipeline, { input, output: answer.output });
 * ```
 */
export function isExpectedOutput(
  pipeline: Pipeline,
  exchange: { readonly input: unknown; readonly output: unknown },
): boolean {
  const expected = computeExpectedOutput(pipeline, exchange.input);
  if (pipeline.stages.every((stage) => stage.idempotent)) {
    return isDeepStrictEqual(expected, exchange.output);
  }
  return matchesOperationAndMarker(expected, exchange.output);
}

function computeExpectedOutput(pipeline: Pipeline, input: unknown): unknown {
  let previous: unknown;
  for (const [index, stage] of pipeline.stages.entries()) {
    const stageInput = index === 0 ? { input } : { input, previous };
    previous = computeStageOutput(stage, stageInput);
  }
  return previous;
}

function computeStageOutput(stage: Stage, input: unknown): unknown {
  return stage.operation === "completions"
    ? expectedText(JSON.stringify(input), stage.maxTokens)
    : expectedPlainOutput(stage.operation, input);
}

function matchesOperationAndMarker(
  expected: unknown,
  actual: unknown,
): boolean {
  if (typeof expected !== "object" || typeof actual !== "object") return false;
  const { operation, about } = { ...expected } as Record<string, unknown>;
  const actualFields = { ...actual } as Record<string, unknown>;
  return operation === actualFields["operation"] &&
    about === actualFields["about"];
}

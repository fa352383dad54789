/**
 * The inputs that the bench sends, and what the stand-ins must make of each.
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

/** Longer than the part of a prompt that engines take as its prefix. */
const INSTRUCTIONS_LENGTH = 80;

/**
 * A text that starts alike for one client account and pipeline and holds a
 * marker of its own.
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
 * Whether an answer's output is the one that this input must give. Where a
 * stage handed out a number, only the marker and operation are foreseeable.
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
  const expected = findExpectedOutput(pipeline, exchange.input);
  if (pipeline.stages.every((stage) => stage.idempotent)) {
    return isDeepStrictEqual(expected, exchange.output);
  }
  return isAlikeButDigest(expected, exchange.output);
}

function findExpectedOutput(pipeline: Pipeline, input: unknown): unknown {
  let previous: unknown;
  for (const [index, stage] of pipeline.stages.entries()) {
    const stageInput = index === 0 ? { input } : { input, previous };
    previous = findStageOutput(stage, stageInput);
  }
  return previous;
}

function findStageOutput(stage: Stage, input: unknown): unknown {
  return stage.operation === "completions"
    ? expectedText(JSON.stringify(input), stage.maxTokens)
    : expectedPlainOutput(stage.operation, input);
}

function isAlikeButDigest(expected: unknown, seen: unknown): boolean {
  if (typeof expected !== "object" || typeof seen !== "object") return false;
  const { operation, about } = { ...expected } as Record<string, unknown>;
  const other = { ...seen } as Record<string, unknown>;
  return operation === other["operation"] && about === other["about"];
}

/**
 * Converts a daemon's error response into a readable error.
 *
 * @module
 */

import { z } from "zod";
import { CliError } from "./cli_error.js";

const HTTP_CONFLICT = 409;

const problemSchema = z.object({
  reason: z.string(),
  detail: z.string(),
  notRun: z.boolean(),
  retryAfterMs: z.number().optional(),
  faults: z.array(z.object({ path: z.string(), message: z.string() }))
    .optional(),
  changeId: z.string().optional(),
});

type ParsedProblem = z.infer<typeof problemSchema>;

/** Creates the error for an unsuccessful response. */
export function toCliError(status: number, text: string): CliError {
  const failure = status === HTTP_CONFLICT ? "conflict" : "refused";
  const problem = parseProblem(text);
  if (problem !== undefined) {
    return new CliError(failure, describeProblem(problem));
  }
  return new CliError(failure, `The daemon responded with status ${status}`);
}

function describeProblem(problem: ParsedProblem): string {
  const lines = [`${problem.reason}: ${problem.detail}`];
  for (const fault of problem.faults ?? []) {
    lines.push(`  ${fault.path}: ${fault.message}`);
  }
  lines.push(problem.notRun ? "  Not run" : "  May have run");
  if (problem.retryAfterMs !== undefined) {
    lines.push(`  Try again after ${problem.retryAfterMs} ms`);
  }
  if (problem.changeId !== undefined) {
    lines.push(`  Try again with --change-id ${problem.changeId}`);
  }
  return lines.join("\n");
}

function parseProblem(text: string): ParsedProblem | undefined {
  try {
    return problemSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

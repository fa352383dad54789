/**
 * Computes the answer that a pipeline of the sample plan must give to an input.
 *
 * @module
 */

import {
  expectedPlainOutput,
  expectedText,
} from "@sassafrasstage/stand-ins/backend_servers/expected_output";
import type { StagePlan } from "@sassafrasstage/stand-ins/cluster/cluster_plan";
import { PIPELINES, type SamplePipeline } from "./sample_plan.js";

/** Returns the output of the last stage, without the number `issue` adds. */
export function expectedAnswer(
  pipeline: SamplePipeline,
  input: string,
): unknown {
  let previous: unknown;
  for (const [index, stage] of PIPELINES[pipeline].stages.entries()) {
    previous = expectedStageOutput(
      stage,
      index === 0 ? { input } : {
        input,
        previous,
      },
    );
  }
  return previous;
}

function expectedStageOutput(stage: StagePlan, input: unknown): unknown {
  if (stage.maxTokens === undefined) {
    return expectedPlainOutput(stage.operation, input);
  }
  return expectedText(JSON.stringify(input), stage.maxTokens);
}

/**
 * Runs the stages of a request sequentially.
 *
 * @module
 */

import type { Service } from "@sassafrasstage/protocol/register";
import type { Stage } from "@sassafrasstage/protocol/rules";
import { getConfigurationIndex } from "../configuration/configuration_index.js";
import type { PipelineEnvironment } from "./pipeline_environment.js";
import type {
  PipelineAnswer,
  PipelineRequest,
  PipelineResult,
  StageReport,
} from "./pipeline_request.js";
import type { RequestLifetime } from "./request_lifetime.js";
import { runStage } from "./run_stage.js";
import type { StageResult, StageRun } from "./stage_run.js";

/**
 * Each stage gets the request's input and the output of the previous stage.
 *
 * @example
 * ```ts
 * const result = await runStages(environment, request, lifetime);
 * ```
 */
export async function runStages(
  environment: PipelineEnvironment,
  request: PipelineRequest,
  lifetime: RequestLifetime,
): Promise<PipelineResult> {
  const reports: StageReport[] = [];
  let previous: unknown;
  for (const stage of request.pipeline.stages) {
    const startedAtMs = environment.clock.nowMs();
    const run: StageRun = {
      request,
      lifetime,
      stage,
      service: findService(request, stage),
      input: reports.length === 0
        ? { input: request.input }
        : { input: request.input, previous },
    };
    const result = await runStage(environment, run);
    if (result.kind === "refused") return result;
    previous = result.call.output;
    const report = makeReport(run, result, {
      durationMs: environment.clock.nowMs() - startedAtMs,
    });
    reports.push(report);
    recordStage(environment, request, report);
  }
  return {
    kind: "answered",
    answer: makeAnswer(request, {
      output: previous,
      stages: reports,
      totalMs: environment.clock.nowMs() - request.receivedAtMs,
    }),
  };
}

function findService(request: PipelineRequest, stage: Stage): Service {
  const service = getConfigurationIndex(request.configuration).services.get(
    stage.service,
  );
  if (service === undefined) {
    throw new Error(`Service "${stage.service}" is not registered`);
  }
  return service;
}

function makeReport(
  run: StageRun,
  result: Extract<StageResult, { kind: "completed" }>,
  timing: { readonly durationMs: number },
): StageReport {
  const { tokens } = result.call;
  return {
    stage: run.stage.name,
    service: run.service.name,
    backendServerId: result.granted.permit.backendServerId,
    dataCentre: result.granted.permit.pool.dataCentre,
    attempts: result.attempts,
    durationMs: timing.durationMs,
    callMs: result.callMs,
    ...(tokens === undefined ? {} : { tokens }),
  };
}

function recordStage(
  environment: PipelineEnvironment,
  request: PipelineRequest,
  report: StageReport,
): void {
  const pipeline = request.pipeline.name;
  environment.estimates.record(
    { pipeline, stage: report.stage },
    report.callMs,
    environment.clock.nowMs(),
  );
  environment.latencies.record({
    pipeline,
    stage: report.stage,
    durationMs: report.durationMs,
    callMs: report.callMs,
    tokens: report.tokens ?? 0,
  });
}

function makeAnswer(
  request: PipelineRequest,
  outcome: Pick<PipelineAnswer, "output" | "stages" | "totalMs">,
): PipelineAnswer {
  return {
    requestId: request.requestId,
    pipeline: request.pipeline.name,
    ...outcome,
  };
}

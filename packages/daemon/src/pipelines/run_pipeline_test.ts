import { expect } from "earl";
import { describe, it } from "node:test";
import {
  type BackendServerId,
  type ClientAccountId,
  type DataCentreName,
  type PermitId,
  type RequestId,
  type StageName,
  toId,
} from "@sassafrasstage/protocol/ids";
import type {
  PermitDecision,
  PermitRelease,
} from "@sassafrasstage/protocol/permits";
import type { ClaimOutcome } from "@sassafrasstage/protocol/claims";
import type {
  CallResult,
  FailedCall,
  StageCall,
} from "../backend_servers/stage_call.js";
import { MONOTONIC_CLOCK } from "../clock.js";
import { LatencyRecords } from "../observability/latency_records.js";
import { createLogger } from "../observability/logger.js";
import { Metrics } from "../observability/metrics.js";
import { makeSampleConfiguration } from "../testing/sample_configuration.js";
import type { PipelineEnvironment } from "./pipeline_environment.js";
import type { PipelineRequest, PipelineResult } from "./pipeline_request.js";
import { RetryBudget } from "./retry_budget.js";
import { startPipeline } from "./run_pipeline.js";
import { StageEstimates } from "./stage_estimates.js";

const CONFIGURATION = makeSampleConfiguration();
const COMPLETED: CallResult = { kind: "completed", output: "done" };

function failedCall(
  cause: FailedCall["cause"],
  mayHaveRun: boolean,
): FailedCall {
  return { kind: "failed", cause, detail: cause, mayHaveRun };
}

/** Fake backend servers, pool owner and claims with scripted call results. */
class ScriptedEnvironment {
  readonly calls: StageCall[] = [];
  readonly releases: PermitRelease[] = [];
  readonly outcomes: ClaimOutcome[] = [];
  readonly #answers: (() => Promise<CallResult>)[];

  constructor(answers: readonly (() => Promise<CallResult>)[]) {
    this.#answers = [...answers];
  }

  environment(): PipelineEnvironment {
    return {
      permits: {
        acquire: (permitRequest) => Promise.resolve(this.#grant(permitRequest)),
        release: (_permit, release) => {
          this.releases.push(release);
        },
        isPermitValid: () => true,
        recordFirstToken: () => undefined,
        candidatePools: (service) => [
          { service, dataCentre: toId<DataCentreName>("palermo") },
        ],
      },
      stageCaller: {
        call: (call) => {
          this.calls.push(call);
          return this.#answers.shift()?.() ?? Promise.resolve(COMPLETED);
        },
      },
      claims: {
        claim: ({ key, attemptId }) =>
          Promise.resolve({ kind: "held", claim: { key, attemptId } }),
        recordOutcome: (_claim, outcome) => {
          this.outcomes.push(outcome);
          return Promise.resolve(true);
        },
        flush: () => Promise.resolve(),
      },
      estimates: new StageEstimates(),
      retryBudget: new RetryBudget(10),
      clock: MONOTONIC_CLOCK,
      metrics: new Metrics(),
      latencies: new LatencyRecords(),
      logger: createLogger("error", {}),
    };
  }

  #grant(
    permitRequest: Parameters<PipelineEnvironment["permits"]["acquire"]>[0],
  ): PermitDecision {
    const prefix = permitRequest.pool.service === "generator"
      ? "engine"
      : "registry";
    const backendServerId = ["1", "2"]
      .map((number) => toId<BackendServerId>(`${prefix}-${number}`))
      .find((id) => !permitRequest.excluded.includes(id));
    if (backendServerId === undefined) {
      return {
        kind: "refused",
        reason: "noBackendServer",
        detail: "",
        retryAfterMs: 1,
      };
    }
    return {
      kind: "granted",
      permit: {
        permitId: toId<PermitId>(permitRequest.attemptId),
        attemptId: permitRequest.attemptId,
        pool: permitRequest.pool,
        backendServerId,
        warmUpState: "warm",
      },
    };
  }
}

function makeRequest(
  pipelineName: string,
  overrides: Partial<PipelineRequest> = {},
): PipelineRequest {
  const pipeline = CONFIGURATION.rules.pipelines.find((entry) =>
    entry.name === pipelineName
  );
  if (pipeline === undefined) throw new Error(`No pipeline ${pipelineName}`);
  const receivedAtMs = MONOTONIC_CLOCK.nowMs();
  return {
    requestId: toId<RequestId>("request-1"),
    clientAccountId: toId<ClientAccountId>("shop"),
    pipeline,
    configuration: CONFIGURATION,
    input: { text: "hello" },
    contentSha256: "00",
    receivedAtMs,
    deadlineAtMs: receivedAtMs + 1000,
    callerSignal: new AbortController().signal,
    ...overrides,
  };
}

async function run(
  script: ScriptedEnvironment,
  request: PipelineRequest,
): Promise<PipelineResult> {
  return await startPipeline(script.environment(), request).result;
}

function resolveWith(result: CallResult): () => Promise<CallResult> {
  return () => Promise.resolve(result);
}

describe("startPipeline", () => {
  it("retries an idempotent stage on another backend server", async () => {
    const script = new ScriptedEnvironment([
      resolveWith(failedCall("failed", true)),
    ]);
    const result = await run(script, makeRequest("draft"));
    expect(result.kind).toEqual("answered");
    if (result.kind !== "answered") return;
    expect(result.answer.stages[0]?.attempts).toEqual(2);
    expect(result.answer.stages[0]?.backendServerId).toEqual(
      toId<BackendServerId>("engine-2"),
    );
    expect(script.releases.length).toEqual(2);
  });

  it("doesn't retry a non-idempotent call that may have run", async () => {
    const script = new ScriptedEnvironment([
      resolveWith(failedCall("failed", true)),
    ]);
    const result = await run(script, makeRequest("issue"));
    expect(script.calls.length).toEqual(1);
    expect(result).toLooseEqual({
      kind: "refused",
      reason: "outcomeUnknown",
      detail: "failed; the call may have run",
      notRun: false,
    });
  });

  it("retries a non-idempotent call on another server after a refused connection", async () => {
    const script = new ScriptedEnvironment([
      resolveWith(failedCall("connectFailed", false)),
    ]);
    const result = await run(script, makeRequest("issue"));
    expect(result.kind).toEqual("answered");
    expect(script.calls.length).toEqual(2);
  });

  it("reports not run when no server accepts a connection", async () => {
    const script = new ScriptedEnvironment([
      resolveWith(failedCall("connectFailed", false)),
      resolveWith(failedCall("connectFailed", false)),
    ]);
    const result = await run(
      script,
      makeRequest("issue", { idempotencyKey: "key-1" }),
    );
    if (result.kind !== "refused") throw new Error("Expected a refusal");
    expect(result.notRun).toEqual(true);
    expect(script.outcomes).toEqual([{ kind: "notRun" }]);
  });

  it("doesn't report not run when only a later non-idempotent stage has not run", async () => {
    const script = new ScriptedEnvironment([
      resolveWith(COMPLETED),
      resolveWith(failedCall("connectFailed", false)),
      resolveWith(failedCall("connectFailed", false)),
    ]);
    const request = makeRequest("issue", { idempotencyKey: "key-1" });
    const stages = request.pipeline.stages.flatMap((stage) => [
      stage,
      { ...stage, name: toId<StageName>("confirm") },
    ]);
    const result = await run(script, {
      ...request,
      pipeline: { ...request.pipeline, stages },
    });
    if (result.kind !== "refused") throw new Error("Expected a refusal");
    expect(result.notRun).toEqual(false);
    expect(script.outcomes).toEqual([{ kind: "unknown" }]);
  });

  it("refuses at the deadline and still records the late outcome", async () => {
    const script = new ScriptedEnvironment([
      () =>
        new Promise((resolve) => {
          setTimeout(() => {
            resolve(COMPLETED);
          }, 120);
        }),
    ]);
    const request = makeRequest("issue", {
      idempotencyKey: "key-1",
      deadlineAtMs: MONOTONIC_CLOCK.nowMs() + 30,
    });
    const running = startPipeline(script.environment(), request);
    const result = await running.result;
    if (result.kind !== "refused") throw new Error("Expected a refusal");
    expect(result.reason).toEqual("deadlineExceeded");
    expect(result.notRun).toEqual(false);
    expect(script.outcomes).toEqual([]);
    await running.finished;
    expect(script.outcomes.map((outcome) => outcome.kind)).toEqual([
      "answered",
    ]);
  });

  it("doesn't report not run while an earlier request holds the key", async () => {
    const script = new ScriptedEnvironment([]);
    const environment = script.environment();
    const waiting: PipelineEnvironment = {
      ...environment,
      claims: {
        ...environment.claims,
        claim: () => new Promise(() => undefined),
      },
    };
    const request = makeRequest("issue", {
      idempotencyKey: "key-1",
      deadlineAtMs: MONOTONIC_CLOCK.nowMs() + 20,
    });
    const result = await startPipeline(waiting, request).result;
    if (result.kind !== "refused") throw new Error("Expected a refusal");
    expect(result.reason).toEqual("deadlineExceeded");
    expect(result.notRun).toEqual(false);
  });

  it("stops retrying when the retry budget is exhausted", async () => {
    const script = new ScriptedEnvironment([]);
    const environment = script.environment();
    const failing: PipelineEnvironment = {
      ...environment,
      stageCaller: {
        call: () => {
          script.calls.push({} as StageCall);
          return Promise.resolve(failedCall("failed", true));
        },
      },
    };
    const requests = 200;
    for (let index = 0; index < requests; index += 1) {
      await startPipeline(failing, makeRequest("draft")).result;
    }
    // 10 retries per 100 requests, plus the initial balance of 3.
    expect(script.calls.length <= requests * 1.1 + 3).toEqual(true);
  });

  it("ends immediately when the caller disconnects", async () => {
    const caller = new AbortController();
    const script = new ScriptedEnvironment([
      () => {
        caller.abort();
        return new Promise(() => undefined);
      },
    ]);
    const result = await run(
      script,
      makeRequest("draft", { callerSignal: caller.signal }),
    );
    expect(result.kind === "refused" && result.reason).toEqual(
      "callerDisconnected",
    );
  });
});

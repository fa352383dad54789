/**
 * Parses and validates a pipeline request before it is run.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import type { Configuration } from "@sassafrasstage/protocol/configuration";
import type { ClientAccountId } from "@sassafrasstage/protocol/ids";
import type { ProblemReason } from "@sassafrasstage/protocol/problems";
import type { Pipeline } from "@sassafrasstage/protocol/rules";
import { z } from "zod";
import {
  findAccount,
  getConfigurationIndex,
} from "../configuration/configuration_index.js";

const MAX_IDEMPOTENCY_KEY_LENGTH = 255;

const bodySchema = z.strictObject({
  input: z.unknown().refine(
    (input) => input !== undefined,
    "Expected an input",
  ),
  stream: z.boolean().default(false),
});

/** A request as received, before validation. */
export interface RawRequest {
  readonly pipelineName: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

export interface ParsedRequest {
  readonly kind: "parsed";
  readonly clientAccountId: ClientAccountId;
  readonly pipeline: Pipeline;
  readonly input: unknown;
  readonly isStream: boolean;
  readonly deadlineMs: number;
  readonly idempotencyKey?: string;
  readonly contentSha256: string;
}

export interface BadRequest {
  readonly kind: "bad";
  readonly reason: ProblemReason;
  readonly detail: string;
}

/**
 * @example
 * ```ts
 * const parsed = parsePipelineRequest(configuration, raw);
 * if (parsed.kind === "bad") refuse(parsed.reason);
 * ```
 */
export function parsePipelineRequest(
  configuration: Configuration,
  raw: RawRequest,
): ParsedRequest | BadRequest {
  const account = findAccount(configuration, raw.headers.authorization);
  if (account === undefined) {
    return badRequest(
      "unauthorized",
      "Expected the bearer key of a client account",
    );
  }
  const pipeline = getConfigurationIndex(configuration).pipelines.get(
    raw.pipelineName,
  );
  if (pipeline === undefined) {
    return badRequest(
      "unknownPipeline",
      `No pipeline is named "${raw.pipelineName}"`,
    );
  }
  const deadlineMs = parseDeadline(raw.headers["deadline-ms"], pipeline);
  if (deadlineMs === undefined) {
    return badRequest(
      "impossibleDeadline",
      `Expected Deadline-Ms between 1 and ${pipeline.deadlineMs}`,
    );
  }
  const body = parseBody(raw.body);
  if (body.kind === "bad") return body;
  const key = raw.headers["idempotency-key"];
  if (key !== undefined && !isValidIdempotencyKey(key)) {
    return badRequest(
      "malformedRequest",
      `Expected one Idempotency-Key of 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`,
    );
  }
  return {
    kind: "parsed",
    clientAccountId: account.id,
    pipeline,
    input: body.content.input,
    isStream: body.content.stream,
    deadlineMs,
    ...(key === undefined ? {} : { idempotencyKey: key }),
    contentSha256: hashContent(pipeline, body.content.input),
  };
}

function badRequest(reason: ProblemReason, detail: string): BadRequest {
  return { kind: "bad", reason, detail };
}

function isValidIdempotencyKey(key: string | string[]): key is string {
  return typeof key === "string" && key.length >= 1 &&
    key.length <= MAX_IDEMPOTENCY_KEY_LENGTH;
}

function parseDeadline(
  header: string | string[] | undefined,
  pipeline: Pipeline,
): number | undefined {
  if (header === undefined) return pipeline.deadlineMs;
  if (typeof header !== "string" || !/^\d{1,9}$/.test(header)) return undefined;
  const deadlineMs = Number(header);
  if (deadlineMs < 1 || deadlineMs > pipeline.deadlineMs) return undefined;
  return deadlineMs;
}

type ParsedBody =
  | { readonly kind: "parsed"; readonly content: z.infer<typeof bodySchema> }
  | BadRequest;

function parseBody(text: string): ParsedBody {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch {
    return badRequest("malformedRequest", "The body is not JSON");
  }
  const parsed = bodySchema.safeParse(json);
  if (parsed.success) return { kind: "parsed", content: parsed.data };
  const [issue] = parsed.error.issues;
  const path = issue?.path.join(".") ?? "";
  return badRequest(
    "malformedRequest",
    `${path}: ${issue?.message ?? "wrong form"}`,
  );
}

function hashContent(pipeline: Pipeline, input: unknown): string {
  const content = JSON.stringify([pipeline.name, input]);
  return createHash("sha256").update(content).digest("hex");
}

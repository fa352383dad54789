/**
 * Submits an operator's change. On a conflict, a commutative change is retried
 * on top of the newer generation.
 *
 * @module
 */

import { type ChangeId, toId } from "@sassafrasstage/protocol/ids";
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import type { Logger } from "../observability/logger.js";
import type { Metrics } from "../observability/metrics.js";
import type { ObjectStore } from "../platform/object_store.js";
import { PlatformError } from "../platform/platform_error.js";
import {
  acceptConfiguration,
  type AcceptResult,
  type Submission,
} from "./accept_configuration.js";
import type { AdoptedConfiguration } from "./adopted_configuration.js";
import { isCommutative } from "./configuration_change.js";
import { ConfigurationError } from "./configuration_error.js";
import type { PartReader } from "./read_configuration.js";

/** Number of retries of a commutative change after conflicts. */
const MAX_CONFLICT_RETRIES = 20;
const MAX_RETRY_DELAY_MS = 100;

export type SubmitRequest =
  & Omit<Submission, "changeId" | "knownGeneration">
  & { readonly changeId?: ChangeId };

export type SubmitResult =
  | Exclude<AcceptResult, { kind: "accepted" }>
  | {
    readonly kind: "accepted";
    readonly generation: number;
    readonly changeId: ChangeId;
  }
  /** The platform can't be reached or read; nothing was changed. */
  | { readonly kind: "unavailable"; readonly detail: string };

export interface SubmitContext {
  readonly store: ObjectStore;
  readonly partReader: PartReader;
  readonly adopted: AdoptedConfiguration;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Submits the change and, once accepted, adopts it in this daemon. */
export async function submitChange(
  request: SubmitRequest,
  context: SubmitContext,
): Promise<SubmitResult> {
  const changeId = request.changeId ?? toId<ChangeId>(randomUUID());
  const knownGeneration = context.adopted.generation;
  const submission: Submission = { ...request, changeId, knownGeneration };
  const result = await acceptOrReportUnavailable(submission, context);
  context.metrics.countEvent(`configurationSubmitted.${result.kind}`);
  context.logger.info("configurationSubmitted", {
    changeId,
    author: submission.author,
    change: submission.change.kind,
    result: result.kind,
  });
  if (result.kind !== "accepted") return result;
  if (result.configuration !== undefined) {
    context.adopted.adopt(result.configuration, "submission");
  }
  return { kind: "accepted", generation: result.generation, changeId };
}

async function acceptOrReportUnavailable(
  submission: Submission,
  context: SubmitContext,
): Promise<AcceptResult | Extract<SubmitResult, { kind: "unavailable" }>> {
  try {
    return await acceptWithRetries(submission, context);
  } catch (error) {
    if (error instanceof PlatformError || error instanceof ConfigurationError) {
      return { kind: "unavailable", detail: error.message };
    }
    throw error;
  }
}

async function acceptWithRetries(
  submission: Submission,
  context: SubmitContext,
): Promise<AcceptResult> {
  const isRetryable = isCommutative(submission.change) &&
    submission.basedOnGeneration === undefined;
  for (let conflicts = 0;; conflicts += 1) {
    const { store, partReader } = context;
    const result = await acceptConfiguration(store, submission, partReader);
    if (result.kind !== "conflict" || !isRetryable) return result;
    if (conflicts >= MAX_CONFLICT_RETRIES) return result;
    context.metrics.countEvent("configurationRaceLost");
    await sleep(MAX_RETRY_DELAY_MS * Math.random());
  }
}

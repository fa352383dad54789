/**
 * Submits an operator's change, again on top of the newer generation where a
 * race was lost and the change allows it.
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
import { isCommuting } from "./configuration_change.js";
import { ConfigurationError } from "./configuration_error.js";
import type { PartReader } from "./read_configuration.js";

/** Lost races after which a change that commutes is given up. */
const MAX_LOST_RACES = 20;
const MAX_PAUSE_MS = 100;

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
  /** The platform can't be reached; nothing was changed. */
  | { readonly kind: "unavailable"; readonly detail: string };

export interface SubmitContext {
  readonly store: ObjectStore;
  readonly partReader: PartReader;
  readonly adopted: AdoptedConfiguration;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Submits the change and adopts it here once it is accepted. */
export async function submitChange(
  request: SubmitRequest,
  context: SubmitContext,
): Promise<SubmitResult> {
  const changeId = request.changeId ?? toId<ChangeId>(randomUUID());
  const knownGeneration = context.adopted.generation;
  const submission: Submission = { ...request, changeId, knownGeneration };
  const result = await acceptOrGiveUp(submission, context);
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

async function acceptOrGiveUp(
  submission: Submission,
  context: SubmitContext,
): Promise<AcceptResult | Extract<SubmitResult, { kind: "unavailable" }>> {
  try {
    return await acceptAfterRaces(submission, context);
  } catch (error) {
    if (error instanceof PlatformError || error instanceof ConfigurationError) {
      return { kind: "unavailable", detail: error.message };
    }
    throw error;
  }
}

async function acceptAfterRaces(
  submission: Submission,
  context: SubmitContext,
): Promise<AcceptResult> {
  const mayRepeat = isCommuting(submission.change) &&
    submission.basedOnGeneration === undefined;
  for (let lostRaces = 0;; lostRaces += 1) {
    const { store, partReader } = context;
    const result = await acceptConfiguration(store, submission, partReader);
    if (result.kind !== "conflict" || !mayRepeat) return result;
    if (lostRaces >= MAX_LOST_RACES) return result;
    context.metrics.countEvent("configurationRaceLost");
    await sleep(MAX_PAUSE_MS * Math.random());
  }
}

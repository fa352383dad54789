/**
 * Decides whether a stage waits for a server in the data centre of its inputs.
 *
 * Load pattern: each item of a stage takes all results of the preceding stages,
 * so a stage in another data centre transfers them once per item. While the
 * queue is short and a request has slack, its stage waits for a server near its
 * inputs. Under a burst no server should stay idle, so any server is used.
 *
 * @module
 */

import type { DataCentreName } from "@sassafrasstage/protocol/ids";
import type { StageJob } from "./stage_job.js";

/** A smaller transfer is not worth waiting for. */
const LARGE_TRANSFER_BYTES = 150_000;
/** Minimum slack for waiting, reserved for the later stages of the request. */
const MIN_SLACK_MS = 500;

/** Bytes sent between data centres if the stage runs in the given one. */
export function crossDataCentreBytes(
  job: StageJob,
  stage: number,
  dataCentre: DataCentreName,
): number {
  const { itemCount, resultBytes } = job.stage(stage);
  let bytes = 0;
  for (const dependency of job.stage(stage).after) {
    const remoteResults = job.resultsOf(dependency)
      .filter((result) => result.dataCentre !== dataCentre);
    bytes += itemCount * remoteResults.length *
      job.stage(dependency).resultBytes;
  }
  const isUsedRemotely = job.followersOf(stage).length === 0 &&
    job.graph.dataCentre !== dataCentre;
  return isUsedRemotely ? bytes + itemCount * resultBytes : bytes;
}

export interface LocalityInput {
  /** Data centres that have healthy servers of the stage's service. */
  readonly dataCentres: ReadonlySet<DataCentreName>;
  /** Expected time from the start of this stage to the end of the last one. */
  readonly pathMs: number;
  readonly nowMs: number;
}

/** Whether the stage should wait instead of running in this data centre. */
export function shouldWaitForNearServer(
  job: StageJob,
  stage: number,
  input: LocalityInput & { readonly dataCentre: DataCentreName },
): boolean {
  const slackMs = job.objectiveAtMs - input.nowMs - input.pathMs;
  if (slackMs < MIN_SLACK_MS) return false;
  const bytes = crossDataCentreBytes(job, stage, input.dataCentre);
  if (bytes < LARGE_TRANSFER_BYTES) return false;
  return [...input.dataCentres].some((other) =>
    crossDataCentreBytes(job, stage, other) < bytes / 2
  );
}

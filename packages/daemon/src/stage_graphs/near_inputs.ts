/**
 * Whether work should wait for a server near its inputs.
 *
 * Load pattern: each item of a stage takes all results of the stages before
 * it, so a stage placed in another data centre carries them across many times
 * over. While little waits and a request has time to spare, it waits for a near
 * server. Under a burst no server may stand idle, so any one will do.
 *
 * @module
 */

import type { DataCentreName } from "@sassafrasstage/protocol/ids";
import type { StageJob } from "./stage_job.js";

/** Fewer bytes than these are not worth waiting for. */
const LARGE_CROSSING_BYTES = 150_000;
/** Time to spare that a request keeps for the stages after this one. */
const KEPT_SLACK_MS = 500;

/** Bytes that cross data centres when the stage runs in this one. */
export function crossingBytes(
  job: StageJob,
  stage: number,
  dataCentre: DataCentreName,
): number {
  const { itemCount, resultBytes } = job.stage(stage);
  let bytes = 0;
  for (const before of job.stage(stage).after) {
    const away = job.resultsOf(before)
      .filter((result) => result.dataCentre !== dataCentre);
    bytes += itemCount * away.length * job.stage(before).resultBytes;
  }
  const isUsedAway = job.followersOf(stage).length === 0 &&
    job.graph.dataCentre !== dataCentre;
  return isUsedAway ? bytes + itemCount * resultBytes : bytes;
}

export interface NearServersInput {
  /** Data centres that have sound servers of the stage's service. */
  readonly dataCentres: ReadonlySet<DataCentreName>;
  /** Likely time from the start of the stage to the end of all after it. */
  readonly pathMs: number;
  readonly nowMs: number;
}

/** Whether the stage rather waits than runs in this data centre. */
export function waitsForNear(
  job: StageJob,
  stage: number,
  place: NearServersInput & { readonly dataCentre: DataCentreName },
): boolean {
  const slackMs = job.lateAtMs - place.nowMs - place.pathMs;
  if (slackMs < KEPT_SLACK_MS) return false;
  const bytes = crossingBytes(job, stage, place.dataCentre);
  if (bytes < LARGE_CROSSING_BYTES) return false;
  return [...place.dataCentres].some((other) =>
    crossingBytes(job, stage, other) < bytes / 2
  );
}

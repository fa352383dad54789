/**
 * The Stratos deployment.
 *
 * @module
 */

import type { Deployment } from "./deployment.js";
import { readExampleConfiguration } from "./example_files.js";

/**
 * Reads the Stratos example and adds service times and load.
 *
 * @example
 * ```ts
 * const { content } = makeStratos();
 * ```
 */
export function makeStratos(): Deployment {
  return {
    name: "stratos",
    content: readExampleConfiguration("stratos"),
    serviceTimes: [
      {
        kind: "modelEngine",
        service: "assistant",
        firstTokenMs: 120,
        betweenTokensMs: 14,
        prefixCapacity: 6,
      },
      { kind: "plain", service: "encoder", workMs: 20, jitterMs: 10 },
      { kind: "plain", service: "retriever", workMs: 30, jitterMs: 20 },
      { kind: "plain", service: "reranker", workMs: 40, jitterMs: 20 },
      { kind: "plain", service: "slot-booking", workMs: 140, jitterMs: 40 },
      { kind: "plain", service: "ground-dispatch", workMs: 80, jitterMs: 40 },
      { kind: "plain", service: "tracking", workMs: 60, jitterMs: 40 },
      { kind: "plain", service: "invoicing", workMs: 80, jitterMs: 40 },
    ],
    pipelineMix: [
      { name: "flight-plan", weight: 10 },
      { name: "telemetry-summary", weight: 15 },
      { name: "booking-question", weight: 30 },
      { name: "launch-status", weight: 25 },
      { name: "slot-reservation", weight: 20 },
    ],
    clientAccountMix: [
      { name: "university-cluj", weight: 40 },
      { name: "weather-office", weight: 30 },
      { name: "camera-crews", weight: 10 },
      { name: "radio-amateurs", weight: 10 },
      { name: "glacier-survey", weight: 10 },
    ],
    burstingAccount: "university-cluj",
    dataCentreTakenOut: "brasov",
  };
}

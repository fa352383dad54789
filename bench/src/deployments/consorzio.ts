/**
 * The Consorzio deployment.
 *
 * @module
 */

import type { Deployment } from "./deployment.js";
import { readExampleConfiguration } from "./example_files.js";

/**
 * Reads the Consorzio example and adds service times and load.
 *
 * @example
 * ```ts
 * const { content } = makeConsorzio();
 * ```
 */
export function makeConsorzio(): Deployment {
  return {
    name: "consorzio",
    content: readExampleConfiguration("consorzio"),
    serviceTimes: [
      {
        kind: "modelEngine",
        service: "language-model",
        firstTokenMs: 60,
        betweenTokensMs: 8,
        prefixCapacity: 6,
      },
      { kind: "plain", service: "encoder", workMs: 20, jitterMs: 10 },
      { kind: "plain", service: "photo-encoder", workMs: 40, jitterMs: 20 },
      { kind: "plain", service: "retriever", workMs: 30, jitterMs: 20 },
      { kind: "plain", service: "reranker", workMs: 40, jitterMs: 20 },
      {
        kind: "plain",
        service: "certificate-registry",
        workMs: 120,
        jitterMs: 40,
      },
      { kind: "plain", service: "member-accounts", workMs: 60, jitterMs: 40 },
      { kind: "plain", service: "shipping", workMs: 60, jitterMs: 40 },
      { kind: "plain", service: "archive", workMs: 60, jitterMs: 40 },
    ],
    pipelineMix: [
      { name: "dossier", weight: 10 },
      { name: "customer-note", weight: 15 },
      { name: "photo-tagging", weight: 15 },
      { name: "certificate-lookup", weight: 45 },
      { name: "certificate-issue", weight: 15 },
    ],
    clientAccountMix: [
      { name: "boutiques-palermo", weight: 40 },
      { name: "resale-catania", weight: 30 },
      { name: "pawnbrokers", weight: 10 },
      { name: "auction-house", weight: 10 },
      { name: "watch-dealer", weight: 10 },
    ],
    burstingAccount: "boutiques-palermo",
    dataCentreTakenOut: "catania",
  };
}

/**
 * Measures the size of recorded claims by their number.
 *
 * @module
 */

import type { ClaimRecord } from "@sassafrasstage/protocol/claims";
import { toId } from "@sassafrasstage/protocol/ids";
import { measureHeapBytes } from "./heap_size.js";
import type { SlopeSeries } from "./slope_series.js";

const CLAIM_COUNTS: readonly number[] = [1000, 4000, 16_000];
const ANSWER_BYTES = 400;

/**
 * Measures claims with answers of 400 bytes, as JSON and as parsed records.
 *
 * @example
 * ```ts
 * console.log(formatSlopes(measureClaimSlopes()));
 * ```
 */
export function measureClaimSlopes(): SlopeSeries[] {
  return [
    {
      name: "claims as JSON",
      unit: "bytes",
      sizeName: "claims",
      points: CLAIM_COUNTS.map((size) => ({
        size,
        value: JSON.stringify(makeClaims(size)).length,
      })),
    },
    {
      name: "claims in memory",
      unit: "bytes",
      sizeName: "claims",
      points: CLAIM_COUNTS.map((size) => {
        const text = JSON.stringify(makeClaims(size));
        return { size, value: measureHeapBytes(() => JSON.parse(text)) };
      }),
    },
  ];
}

function makeClaims(count: number): ClaimRecord[] {
  return Array.from({ length: count }, (_, serial) => ({
    key: {
      clientAccountId: toId("boutiques-palermo"),
      idempotencyKey: `certificate-${serial}`,
    },
    contentSha256: serial.toString(16).padStart(64, "0"),
    attemptId: toId(`0f6f2a61-3f0c-4f7e-9a1d-${serial}`),
    holder: "vm-palermo-1/1",
    state: "answered",
    answer: {
      status: 200,
      contentType: "application/json",
      body: String(serial).padEnd(ANSWER_BYTES, "."),
    },
  }));
}

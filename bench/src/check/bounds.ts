/**
 * The bounds that `npm run bench:check` checks a run against.
 *
 * @module
 */

import { parse } from "ini";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { z } from "zod";

const count = z.coerce.number().int().min(0);
const share = z.coerce.number().min(0).max(1);
const time = z.coerce.number().positive();

const boundsSchema = z.strictObject({
  "every-scenario": z.strictObject({
    ran_twice_max: count,
    untrue_not_run_max: count,
    wrong_answers_max: count,
    cold_overloads_max: count,
  }),
  "steady": z.strictObject({ counter_attainment_min: share }),
  "vm-killed": z.strictObject({ counter_attainment_min: share }),
  "data-centre-leaves-and-returns": z.strictObject({
    counter_attainment_min: share,
    calls_while_out_max: count,
  }),
  "overload": z.strictObject({ throughput_ratio_min: share }),
  "stage-overhead": z.strictObject({
    time_room: time,
    added_median_ms_max: time,
    added_p99_ms_max: time,
  }),
});

export type Bounds = z.infer<typeof boundsSchema>;

/**
 * Reads `bench/bounds.ini`.
 *
 * @example
 * ```ts
 * readBounds()["overload"].throughput_ratio_min; // 0.95
 * ```
 */
export function readBounds(): Bounds {
  const path = fileURLToPath(new URL("../../bounds.ini", import.meta.url));
  return boundsSchema.parse(parse(readFileSync(path, "utf8")));
}

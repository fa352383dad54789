/**
 * A load of stage services, as a file describes it.
 *
 * @module
 */

import { z } from "zod";

const serviceSchema = z.object({
  name: z.string(),
  servers: z.number().positive(),
  /** Items that one call takes. */
  maxItems: z.number().positive(),
  callMs: z.number().nonnegative(),
  itemMs: z.number().nonnegative(),
  resultRoomBytes: z.number().positive(),
});

const stageSchema = z.object({
  service: z.string(),
  /** Mean items of one request. */
  items: z.number().nonnegative(),
  resultBytes: z.number().nonnegative(),
  /** From the start of the call until the result is given back. */
  heldMs: z.number().nonnegative(),
});

const classSchema = z.object({
  name: z.string(),
  perSecond: z.number().nonnegative(),
  /** Of one request, against the others. */
  worth: z.number().positive(),
  stages: z.array(stageSchema),
});

const phaseSchema = z.object({
  name: z.string(),
  /** Times the usual rate; classes that aren't named have theirs. */
  factors: z.record(z.string(), z.number().positive()).default({}),
  /** Servers that are missing, by service. */
  lost: z.record(z.string(), z.number().nonnegative()).default({}),
});

export const stageLoadSchema = z.object({
  services: z.array(serviceSchema),
  classes: z.array(classSchema),
  phases: z.array(phaseSchema),
});

export type StageService = z.infer<typeof serviceSchema>;
export type RequestClass = z.infer<typeof classSchema>;
export type LoadPhase = z.infer<typeof phaseSchema>;
export type StageLoad = z.infer<typeof stageLoadSchema>;

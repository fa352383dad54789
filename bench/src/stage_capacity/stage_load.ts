/**
 * The schema of a file that describes a load of stage services.
 *
 * @module
 */

import { z } from "zod";

const serviceSchema = z.object({
  name: z.string(),
  servers: z.number().positive(),
  /** Largest number of items in one call. */
  maxItems: z.number().positive(),
  callMs: z.number().nonnegative(),
  itemMs: z.number().nonnegative(),
  /** Storage for results at each server. */
  resultRoomBytes: z.number().positive(),
});

const stageSchema = z.object({
  service: z.string(),
  /** Mean number of items per request. */
  items: z.number().nonnegative(),
  resultBytes: z.number().nonnegative(),
  /** From the start of the call until the result is released. */
  heldMs: z.number().nonnegative(),
});

const classSchema = z.object({
  name: z.string(),
  perSecond: z.number().nonnegative(),
  /** Value of one request relative to the other classes. */
  worth: z.number().positive(),
  stages: z.array(stageSchema),
});

const phaseSchema = z.object({
  name: z.string(),
  /** Factors on the normal rates; a class that isn't named has factor 1. */
  factors: z.record(z.string(), z.number().positive()).default({}),
  /** Number of unavailable servers, by service. */
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

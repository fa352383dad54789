/**
 * What changed from one generation to a later one. At the size of a fleet a
 * change is thousands of times smaller than the whole.
 *
 * @module
 */

import { z } from "zod";
import { registerSchema } from "./register.js";
import { rulesSchema } from "./rules.js";

function listChangeSchema<Entry extends z.ZodType>(entry: Entry) {
  return z.strictObject({
    /** Added entries, and changed ones whole. */
    upserted: z.array(entry),
    /** Names or ids. */
    removed: z.array(z.string()),
  });
}

const { shape: register } = registerSchema;
const { shape: rules } = rulesSchema;

/** The schema of a change. */
export const configurationDeltaSchema = z.strictObject({
  fromGeneration: z.int().min(1),
  generation: z.int().min(2),
  dataCentres: listChangeSchema(register.dataCentres.element),
  models: listChangeSchema(register.models.element),
  services: listChangeSchema(register.services.element),
  backendServers: listChangeSchema(register.backendServers.element),
  pipelines: listChangeSchema(rules.pipelines.element),
  clientAccounts: listChangeSchema(rules.clientAccounts.element),
  /** Whole, as they are short. */
  dataCentresOut: rules.dataCentresOut,
  backendServersOut: rules.backendServersOut,
});

export type ConfigurationDelta = z.infer<typeof configurationDeltaSchema>;

/** What changed in one list whose entries have a name or an id. */
export interface ListChange<Entry> {
  readonly upserted: Entry[];
  readonly removed: string[];
}

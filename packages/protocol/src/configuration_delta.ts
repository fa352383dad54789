/**
 * The difference between one generation and a later one. At fleet scale it is
 * thousands of times smaller than the whole configuration.
 *
 * @module
 */

import { z } from "zod";
import { registerSchema } from "./register.js";
import { rulesSchema } from "./rules.js";

function listChangeSchema<Entry extends z.ZodType>(entry: Entry) {
  return z.strictObject({
    /** Added entries, and changed entries in full. */
    upserted: z.array(entry),
    /** Names or ids of the removed entries. */
    removed: z.array(z.string()),
  });
}

const { shape: register } = registerSchema;
const { shape: rules } = rulesSchema;

export const configurationDeltaSchema = z.strictObject({
  fromGeneration: z.int().min(1),
  generation: z.int().min(2),
  dataCentres: listChangeSchema(register.dataCentres.element),
  models: listChangeSchema(register.models.element),
  services: listChangeSchema(register.services.element),
  backendServers: listChangeSchema(register.backendServers.element),
  pipelines: listChangeSchema(rules.pipelines.element),
  clientAccounts: listChangeSchema(rules.clientAccounts.element),
  /** Both lists are sent in full, as they are short. */
  dataCentresOut: rules.dataCentresOut,
  backendServersOut: rules.backendServersOut,
});

export type ConfigurationDelta = z.infer<typeof configurationDeltaSchema>;

/** The changes of one list, whose entries are identified by name or id. */
export interface ListChange<Entry> {
  readonly upserted: Entry[];
  readonly removed: string[];
}

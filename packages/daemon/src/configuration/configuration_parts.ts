/**
 * Splits a configuration into parts that each fit into one object, and joins
 * them again.
 *
 * @module
 */

import type { ConfigurationContent } from "@sassafrasstage/protocol/configuration";
import {
  type BackendServer,
  type Register,
  registerSchema,
} from "@sassafrasstage/protocol/register";
import { type Rules, rulesSchema } from "@sassafrasstage/protocol/rules";
import { MAX_OBJECT_BYTES } from "@sassafrasstage/protocol/platform_objects";
import { z } from "zod";

/** Leaves room for the JSON around the entries of a part. */
const PART_TARGET_BYTES = MAX_OBJECT_BYTES * 0.8;

/** The part of a configuration that is stored in one object. */
export type ConfigurationPart =
  | {
    readonly kind: "register";
    readonly register: Omit<Register, "backendServers">;
  }
  | {
    readonly kind: "backendServers";
    readonly backendServers: readonly BackendServer[];
  }
  | { readonly kind: "rules"; readonly rules: Omit<Rules, "clientAccounts"> }
  | {
    readonly kind: "clientAccounts";
    readonly clientAccounts: Rules["clientAccounts"];
  };

const partSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("register"),
    register: registerSchema.omit({ backendServers: true }),
  }),
  z.strictObject({
    kind: z.literal("backendServers"),
    backendServers: registerSchema.shape.backendServers,
  }),
  z.strictObject({
    kind: z.literal("rules"),
    rules: rulesSchema.omit({ clientAccounts: true }),
  }),
  z.strictObject({
    kind: z.literal("clientAccounts"),
    clientAccounts: rulesSchema.shape.clientAccounts,
  }),
]);

/** Parses a stored part; undefined when it is malformed. */
export function parsePart(value: unknown): ConfigurationPart | undefined {
  return partSchema.safeParse(value).data;
}

/**
 * Splits the backend servers by data centre, and long lists by size.
 *
 * @example
 * ```ts
 * const parts = splitConfiguration(content);
 * joinConfiguration(parts); // equals content
 * ```
 */
export function splitConfiguration(
  content: ConfigurationContent,
): ConfigurationPart[] {
  const { backendServers, ...register } = content.register;
  const { clientAccounts, ...rules } = content.rules;
  return [
    { kind: "register", register },
    { kind: "rules", rules },
    ...groupByDataCentre(backendServers).flatMap((group) =>
      chunkBySize(group).map((entries): ConfigurationPart => ({
        kind: "backendServers",
        backendServers: entries,
      }))
    ),
    ...chunkBySize(clientAccounts).map((entries): ConfigurationPart => ({
      kind: "clientAccounts",
      clientAccounts: entries,
    })),
  ];
}

/**
 * Joins all parts of one generation; undefined unless there is exactly one
 * register part and one rules part. References between entries aren't checked.
 */
export function joinConfiguration(
  parts: readonly ConfigurationPart[],
): ConfigurationContent | undefined {
  const registers = parts.filter((part) => part.kind === "register");
  const rules = parts.filter((part) => part.kind === "rules");
  const [registerPart, secondRegister] = registers;
  const [rulesPart, secondRules] = rules;
  if (registerPart === undefined || secondRegister !== undefined) return;
  if (rulesPart === undefined || secondRules !== undefined) return;
  const backendServers = parts.flatMap((part) =>
    part.kind === "backendServers" ? part.backendServers : []
  );
  const clientAccounts = parts.flatMap((part) =>
    part.kind === "clientAccounts" ? part.clientAccounts : []
  );
  return {
    register: { ...registerPart.register, backendServers },
    rules: { ...rulesPart.rules, clientAccounts },
  };
}

function groupByDataCentre(
  backendServers: readonly BackendServer[],
): BackendServer[][] {
  const groups = new Map<string, BackendServer[]>();
  for (const server of backendServers) {
    const group = groups.get(server.dataCentre);
    if (group === undefined) groups.set(server.dataCentre, [server]);
    else group.push(server);
  }
  return [...groups.values()];
}

function chunkBySize<Entry>(entries: readonly Entry[]): Entry[][] {
  const chunks: Entry[][] = [];
  let chunk: Entry[] = [];
  let chunkBytes = 0;
  for (const entry of entries) {
    const entryBytes = Buffer.byteLength(JSON.stringify(entry)) + 1;
    if (chunk.length > 0 && chunkBytes + entryBytes > PART_TARGET_BYTES) {
      chunks.push(chunk);
      chunk = [];
      chunkBytes = 0;
    }
    chunk.push(entry);
    chunkBytes += entryBytes;
  }
  if (chunk.length > 0) chunks.push(chunk);
  return chunks;
}

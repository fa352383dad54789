/**
 * Cuts a configuration into parts that each fit into one object, and joins
 * them again.
 *
 * @module
 */

import type { ConfigurationContent } from "@sassafrasstage/protocol/configuration";
import type {
  BackendServer,
  Register,
} from "@sassafrasstage/protocol/register";
import type { Rules } from "@sassafrasstage/protocol/rules";
import { MAX_OBJECT_BYTES } from "@sassafrasstage/protocol/platform_objects";
import { z } from "zod";

/** Leaves room for what surrounds the entries of a part. */
const PART_TARGET_BYTES = MAX_OBJECT_BYTES * 0.8;

/** One object's worth of a configuration. */
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

/** Only the outline: the joined whole is checked field by field. */
const partOutlineSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("register"),
    register: z.record(z.string(), z.unknown()),
  }),
  z.object({
    kind: z.literal("backendServers"),
    backendServers: z.array(z.unknown()),
  }),
  z.object({
    kind: z.literal("rules"),
    rules: z.record(z.string(), z.unknown()),
  }),
  z.object({
    kind: z.literal("clientAccounts"),
    clientAccounts: z.array(z.unknown()),
  }),
]);

/**
 * Cuts the backend servers by data centre and everything long by size.
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
      cutBySize(group).map((entries): ConfigurationPart => ({
        kind: "backendServers",
        backendServers: entries,
      }))
    ),
    ...cutBySize(clientAccounts).map((entries): ConfigurationPart => ({
      kind: "clientAccounts",
      clientAccounts: entries,
    })),
  ];
}

/**
 * Joins the values of all parts of one generation. What comes back is not
 * checked yet; undefined when a value is no part at all.
 */
export function joinConfiguration(
  values: readonly unknown[],
): unknown {
  let register: Record<string, unknown> = {};
  let rules: Record<string, unknown> = {};
  const backendServers: unknown[] = [];
  const clientAccounts: unknown[] = [];
  for (const value of values) {
    const part = partOutlineSchema.safeParse(value).data;
    switch (part?.kind) {
      case undefined:
        return undefined;
      case "register":
        register = part.register;
        break;
      case "rules":
        rules = part.rules;
        break;
      case "backendServers":
        backendServers.push(...part.backendServers);
        break;
      case "clientAccounts":
        clientAccounts.push(...part.clientAccounts);
        break;
    }
  }
  return {
    register: { ...register, backendServers },
    rules: { ...rules, clientAccounts },
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

function cutBySize<Entry>(entries: readonly Entry[]): Entry[][] {
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

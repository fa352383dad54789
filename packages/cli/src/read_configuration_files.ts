/**
 * Reads register and rules from one or more JSON files.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import { text as readAll } from "node:stream/consumers";
import { z } from "zod";
import { CliError } from "./cli_error.js";

const fileSchema = z.strictObject({
  register: z.unknown().optional(),
  rules: z.unknown().optional(),
  generation: z.int().nonnegative().optional(),
});

/** The merged content; the daemon validates the register and the rules. */
export type ConfigurationFiles = z.infer<typeof fileSchema>;

/** Merges the fields of all files; a later file takes precedence. */
export async function readConfigurationFiles(
  paths: readonly string[],
): Promise<ConfigurationFiles> {
  let merged: ConfigurationFiles = {};
  for (const path of paths) merged = { ...merged, ...await parseFile(path) };
  return merged;
}

async function parseFile(
  path: string,
): Promise<ConfigurationFiles> {
  const text = await readText(path);
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (cause) {
    throw new CliError("badUsage", `${path} is not JSON: ${String(cause)}`);
  }
  const parsed = fileSchema.safeParse(value);
  if (parsed.success) return parsed.data;
  throw new CliError(
    "badUsage",
    `${path}: ${z.prettifyError(parsed.error)}`,
  );
}

async function readText(path: string): Promise<string> {
  try {
    if (path === "-") return await readAll(process.stdin);
    return await readFile(path, "utf8");
  } catch (cause) {
    throw new CliError("badUsage", `${path} can't be read`, { cause });
  }
}

/**
 * Reads the example deployments: their configuration and entry VM settings.
 *
 * @module
 */

import {
  checkConfiguration,
  type ConfigurationContent,
} from "@sassafrasstage/protocol/configuration";
import {
  type Settings,
  settingsSchema,
} from "@sassafrasstage/daemon/settings/settings";
import { parse } from "ini";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

export const DEPLOYMENT_NAMES = ["consorzio", "stratos"] as const;
export type DeploymentName = (typeof DEPLOYMENT_NAMES)[number];

/** An example file doesn't match its schema. */
export class ExampleFileError extends Error {
  override readonly name = "ExampleFileError";
}

/**
 * Reads and checks a deployment's `configuration.json`.
 *
 * @example
 * ```ts
 * const { register, rules } = readExampleConfiguration("stratos");
 * ```
 */
export function readExampleConfiguration(
  name: DeploymentName,
): ConfigurationContent {
  const path = join(exampleFolder(name), "configuration.json");
  const check = checkConfiguration(JSON.parse(readFileSync(path, "utf8")));
  if (check.kind === "valid") return check.content;
  const faults = check.faults.map((fault) => `${fault.path}: ${fault.message}`);
  throw new ExampleFileError(`Invalid ${path}: ${faults.join("; ")}`);
}

/**
 * Reads and checks the settings of every entry VM of a deployment, ordered by
 * file name.
 *
 * @example
 * ```ts
 * const vmIds = readExampleSettings("consorzio").map(({ vm }) => vm.id);
 * ```
 */
export function readExampleSettings(name: DeploymentName): Settings[] {
  const folder = join(exampleFolder(name), "settings");
  return readdirSync(folder).sort().map((file) => {
    const text = readFileSync(join(folder, file), "utf8");
    const parsed = settingsSchema.safeParse(parse(text));
    if (parsed.success) return parsed.data;
    throw new ExampleFileError(`Invalid ${file}: ${parsed.error.message}`);
  });
}

/**
 * The bearer key of a client account in the examples.
 *
 * @example
 * ```ts
 * exampleKey("pawnbrokers"); // "example-key-pawnbrokers"
 * ```
 */
export function exampleKey(clientAccountId: string): string {
  return `example-key-${clientAccountId}`;
}

function exampleFolder(name: DeploymentName): string {
  const repository = new URL("../../../", import.meta.url);
  return join(fileURLToPath(repository), "examples", name);
}

/**
 * The options that select the daemons to call and the admin key.
 *
 * @module
 */

import type { Command } from "commander";
import { AdminClient } from "./admin_client.js";
import { CliError } from "./cli_error.js";
import type { Terminal } from "./terminal.js";

interface ConnectionOptions {
  readonly url?: string;
  readonly adminKey?: string;
}

/** Reads the daemons' base URLs from `--url` or the environment. */
export function readUrls(command: Command, terminal: Terminal): string[] {
  const { url } = command.optsWithGlobals<ConnectionOptions>();
  const text = url ?? terminal.environment["SASSAFRASSTAGE_URL"] ?? "";
  const urls = text.split(",").map((part) => part.trim()).filter(Boolean);
  if (urls.length === 0) {
    throw new CliError("badUsage", "Give --url or set SASSAFRASSTAGE_URL");
  }
  const invalidUrl = urls.find((part) => !/^https?:\/\//.test(part));
  if (invalidUrl === undefined) return urls;
  throw new CliError("badUsage", `"${invalidUrl}" is not an HTTP URL`);
}

/** Creates a client of the administration API. */
export function createAdminClient(
  command: Command,
  terminal: Terminal,
): AdminClient {
  const options = command.optsWithGlobals<ConnectionOptions>();
  const adminKey = options.adminKey ??
    terminal.environment["SASSAFRASSTAGE_ADMIN_KEY"];
  if (adminKey === undefined || adminKey === "") {
    throw new CliError(
      "badUsage",
      "Give --admin-key or set SASSAFRASSTAGE_ADMIN_KEY",
    );
  }
  return new AdminClient({ urls: readUrls(command, terminal), adminKey });
}

/**
 * Paths of the programs that the harness starts.
 *
 * @module
 */

import { fileURLToPath } from "node:url";

/**
 * Environment variable with the path of another build of the daemon, for trials
 * without one of its mechanisms.
 */
const DAEMON_PROGRAM_VARIABLE = "SASSAFRASSTAGE_DAEMON_PROGRAM";

/** The path of the compiled program of a stand-in. */
export function binPath(name: string): string {
  return fileURLToPath(new URL(`../bin/${name}.js`, import.meta.url));
}

/** The path of the daemon's program. */
export function daemonPath(): string {
  const fromEnvironment = process.env[DAEMON_PROGRAM_VARIABLE];
  if (fromEnvironment !== undefined) return fromEnvironment;
  const relative = "../../../daemon/bin/sassafrasstaged.js";
  return fileURLToPath(new URL(relative, import.meta.url));
}

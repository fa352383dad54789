/**
 * Runs the command-line programs in a shell, as an operator does.
 *
 * @module
 */

import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, symlinkSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../../../", import.meta.url));
const COMMAND_TIMEOUT_MS = 60_000;

export interface CommandResult {
  readonly exitCode: number | null;
  readonly output: string;
  readonly messages: string;
}

/** A shell in a temporary folder with the examples, and both programs on PATH. */
export class OperatorShell {
  readonly #folder = mkdtempSync(join(tmpdir(), "sassafrasstage-shell-"));
  readonly #environment: NodeJS.ProcessEnv;

  constructor(variables: Readonly<Record<string, string>>) {
    this.#link("packages/cli/bin/sassafrasstage.js", "sassafrasstage");
    this.#link("packages/daemon/bin/sassafrasstaged.js", "sassafrasstaged");
    this.#link("examples", "examples");
    this.#environment = {
      ...process.env,
      ...variables,
      PATH: `${this.#folder}:${process.env["PATH"] ?? ""}`,
    };
  }

  /** Runs one command line with bash. */
  run(line: string): Promise<CommandResult> {
    const child = spawn("bash", ["-c", line], {
      cwd: this.#folder,
      env: this.#environment,
      stdio: ["ignore", "pipe", "pipe"],
      timeout: COMMAND_TIMEOUT_MS,
    });
    let output = "";
    let messages = "";
    child.stdout.on("data", (chunk: Buffer) => {
      output += chunk.toString();
    });
    child.stderr.on("data", (chunk: Buffer) => {
      messages += chunk.toString();
    });
    return new Promise((resolve, reject) => {
      child.once("error", reject);
      child.once("close", (exitCode) => {
        resolve({ exitCode, output, messages });
      });
    });
  }

  remove(): void {
    rmSync(this.#folder, { recursive: true, force: true });
  }

  #link(path: string, name: string): void {
    symlinkSync(join(ROOT, path), join(this.#folder, name));
  }
}

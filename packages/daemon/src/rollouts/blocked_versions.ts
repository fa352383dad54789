/**
 * Versions to which this VM sends nothing, whatever becomes of their rollout
 * requests.
 *
 * @module
 */

import type {
  ServiceName,
  SoftwareVersion,
} from "@sassafrasstage/protocol/ids";
import type { RegisterChange } from "../register/server_register.js";

/** The owner announces an undecided rollout at shorter intervals. */
const ANNOUNCED_HOLD_MS = 2500;
/**
 * A version that was rolled back and had no server for this time may be used
 * again, as its servers are started anew.
 */
const FORGET_AFTER_MS = 60_000;

interface Block {
  untilMs: number;
  /** Since when no server of the version has been seen. */
  absentSinceMs: number | undefined;
}

export class BlockedVersions {
  readonly #blocks = new Map<string, Block>();

  has(service: ServiceName, version: SoftwareVersion, nowMs: number): boolean {
    if (this.#blocks.size === 0) return false;
    const block = this.#blocks.get(keyOf(service, version));
    return block !== undefined && nowMs < block.untilMs;
  }

  /** Blocks a version that was rolled back. */
  add(service: ServiceName, version: SoftwareVersion): void {
    this.#get(service, version).untilMs = Infinity;
  }

  /** Blocks a version until its rollout request has had time to arrive. */
  addBriefly(
    service: ServiceName,
    version: SoftwareVersion,
    nowMs: number,
  ): void {
    const block = this.#get(service, version);
    block.untilMs = Math.max(block.untilMs, nowMs + ANNOUNCED_HOLD_MS);
  }

  /** A new rollout request for the version decides about it. */
  delete(service: ServiceName, version: SoftwareVersion): void {
    this.#blocks.delete(keyOf(service, version));
  }

  /**
   * @param hasServers Whether servers of the version are registered now
   */
  handleServerChange(
    { kind, server }: RegisterChange,
    hasServers: () => boolean,
    nowMs: number,
  ): void {
    if (this.#blocks.size === 0) return;
    const key = keyOf(server.service, server.softwareVersion);
    const block = this.#blocks.get(key);
    if (block === undefined) return;
    if (kind === "ended") {
      if (!hasServers()) block.absentSinceMs = nowMs;
      return;
    }
    const isForgotten = block.absentSinceMs !== undefined &&
      nowMs - block.absentSinceMs >= FORGET_AFTER_MS;
    if (isForgotten) this.#blocks.delete(key);
    else block.absentSinceMs = undefined;
  }

  #get(service: ServiceName, version: SoftwareVersion): Block {
    const key = keyOf(service, version);
    const known = this.#blocks.get(key);
    if (known !== undefined) return known;
    const block: Block = {
      untilMs: -Infinity,
      absentSinceMs: undefined,
    };
    this.#blocks.set(key, block);
    return block;
  }
}

function keyOf(service: ServiceName, version: SoftwareVersion): string {
  return JSON.stringify([service, version]);
}

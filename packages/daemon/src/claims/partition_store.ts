/**
 * One partition's objects in the platform.
 *
 * A key has its claim either in the head or in one segment. Segments only lose
 * keys, and the list of them is part of the head, so an update of the head that
 * succeeds proves that no segment was cut off since the head was read.
 *
 * @module
 */

import type { ClaimRecord } from "@sassafrasstage/protocol/claims";
import { randomUUID } from "node:crypto";
import type { ExpectedVersion, ObjectStore } from "../platform/object_store.js";
import { PlatformError } from "../platform/platform_error.js";
import { type ClaimHash, hashClaimKey } from "./claim_hash.js";
import { type LayoutKeeper, RETENTION_EPOCHS } from "./claim_layout.js";
import {
  byteSizeOf,
  type ClaimSegment,
  headKey,
  parseHead,
  parseSegment,
  type SegmentEntry,
  segmentKey,
} from "./claim_objects.js";

/** A head with more bytes is cut before anything is added. */
export const MAX_HEAD_BYTES = 200_000;

/** The head as it was read or written. */
export interface HeadState {
  readonly expected: ExpectedVersion;
  readonly segments: readonly SegmentEntry[];
  readonly records: ReadonlyMap<ClaimHash, ClaimRecord>;
}

export interface FoundSegment {
  readonly name: string;
  readonly expected: ExpectedVersion;
  readonly segment: ClaimSegment;
}

export interface PartitionStoreOptions {
  readonly partition: number;
  readonly store: ObjectStore;
  readonly layout: LayoutKeeper;
}

/** Reads and writes the objects, and remembers the head and segment keys. */
export class PartitionStore {
  readonly #options: PartitionStoreOptions;
  readonly #headKey: string;
  /** Which keys each segment had when it was read; it never gains any. */
  readonly #segmentHashes = new Map<string, ReadonlySet<ClaimHash>>();
  #head: HeadState | undefined;

  constructor(options: PartitionStoreOptions) {
    this.#options = options;
    this.#headKey = headKey(options.partition);
  }

  /** The head as last seen; it may be out of date. */
  get rememberedHead(): HeadState | undefined {
    return this.#head;
  }

  forgetHead(): void {
    this.#head = undefined;
  }

  async readHead(): Promise<HeadState> {
    const stored = await this.#options.store.read(this.#headKey);
    if (stored === undefined) {
      this.#head = {
        expected: { kind: "absent" },
        segments: [],
        records: new Map(),
      };
      return this.#head;
    }
    const head = parseHead(stored.value, this.#headKey);
    this.#head = {
      expected: { kind: "version", version: stored.version },
      segments: head.segments,
      records: indexRecords(head.records),
    };
    return this.#head;
  }

  /** False when somebody else changed the head since it was read. */
  async updateHead(
    from: HeadState,
    content: Omit<HeadState, "expected">,
  ): Promise<boolean> {
    this.#head = undefined;
    const value = {
      segments: content.segments,
      records: [...content.records.values()],
    };
    const result = await this.#options.store.update(
      this.#headKey,
      value,
      from.expected,
    );
    if (result.kind === "conflict") return false;
    this.#head = {
      ...content,
      expected: { kind: "version", version: result.version },
    };
    return true;
  }

  /** The segment that holds the key now, read afresh. */
  async findSegment(
    head: HeadState,
    hash: ClaimHash,
  ): Promise<FoundSegment | undefined> {
    for (const { name } of head.segments) {
      const hashes = this.#segmentHashes.get(name) ??
        hashesOf((await this.#readSegment(name)).segment);
      if (!hashes.has(hash)) continue;
      const found = await this.#readSegment(name);
      if (hashesOf(found.segment).has(hash)) return found;
    }
    return undefined;
  }

  /** False when somebody else changed the segment since it was read. */
  async updateSegment(
    from: FoundSegment,
    segment: ClaimSegment,
  ): Promise<boolean> {
    const key = segmentKey(this.#options.partition, from.name);
    const result = await this.#options.store.update(
      key,
      segment,
      from.expected,
    );
    return result.kind === "updated";
  }

  /**
   * Moves claims out of a large head into a new segment, and drops segments
   * that are past retention. The epoch is read after the head, so that it is
   * not older than any claim in it.
   */
  async cutSegment(head: HeadState): Promise<boolean> {
    const { partition, store, layout } = this.#options;
    const { epoch } = await layout.read();
    const { moved, kept } = chooseMoved(head.records);
    const name = `${epoch}-${randomUUID()}`;
    const segment: ClaimSegment = { records: [...moved.values()] };
    const created = await store.update(
      segmentKey(partition, name),
      segment,
      { kind: "absent" },
    );
    if (created.kind === "conflict") return false;
    const current = head.segments.filter((entry) =>
      entry.epoch + RETENTION_EPOCHS > epoch
    );
    const isCut = await this.updateHead(head, {
      segments: [...current, { name, epoch }],
      records: kept,
    });
    if (!isCut) await this.#removeSegment(name);
    for (const entry of head.segments) {
      if (isCut && !current.includes(entry)) {
        await this.#removeSegment(entry.name);
      }
    }
    return isCut;
  }

  /** No head names it any more; if this fails, an unused object stays. */
  async #removeSegment(name: string): Promise<void> {
    this.#segmentHashes.delete(name);
    const { partition, store } = this.#options;
    const key = segmentKey(partition, name);
    try {
      const stored = await store.read(key);
      if (stored !== undefined) await store.remove(key, stored.version);
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
    }
  }

  async #readSegment(name: string): Promise<FoundSegment> {
    const { partition, store } = this.#options;
    const key = segmentKey(partition, name);
    const stored = await store.read(key);
    if (stored === undefined) {
      return { name, expected: { kind: "absent" }, segment: { records: [] } };
    }
    const segment = parseSegment(stored.value, key);
    this.#segmentHashes.set(name, hashesOf(segment));
    return {
      name,
      expected: { kind: "version", version: stored.version },
      segment,
    };
  }
}

export function isHeadLarge(head: HeadState): boolean {
  return byteSizeOf([...head.records.values()]) > MAX_HEAD_BYTES;
}

interface ChosenRecords {
  readonly moved: ReadonlyMap<ClaimHash, ClaimRecord>;
  readonly kept: ReadonlyMap<ClaimHash, ClaimRecord>;
}

/**
 * Running claims stay, so that their outcomes are written to the head, unless
 * too many of them would: those of dead holders stay running for ever.
 */
function chooseMoved(
  records: ReadonlyMap<ClaimHash, ClaimRecord>,
): ChosenRecords {
  const all = [...records];
  const kept = all.filter(([, record]) => record.state === "running");
  if (byteSizeOf(kept) > MAX_HEAD_BYTES / 2) {
    return { moved: records, kept: new Map() };
  }
  const moved = all.filter(([, record]) => record.state !== "running");
  return { moved: new Map(moved), kept: new Map(kept) };
}

function indexRecords(
  records: readonly ClaimRecord[],
): Map<ClaimHash, ClaimRecord> {
  return new Map(records.map((record) => [hashClaimKey(record.key), record]));
}

function hashesOf(segment: ClaimSegment): Set<ClaimHash> {
  return new Set(segment.records.map((record) => hashClaimKey(record.key)));
}

/**
 * Reads and writes the platform objects of one partition.
 *
 * The claim of a key is either in the head or in one segment. Keys are only
 * removed from segments, and the list of segments is part of the head, so a
 * successful update of the head proves that no segment was split off since the
 * head was read.
 *
 * @module
 */

import type { ClaimRecord } from "@sassafrasstage/protocol/claims";
import { randomUUID } from "node:crypto";
import type { ExpectedVersion, ObjectStore } from "../platform/object_store.js";
import { PlatformError } from "../platform/platform_error.js";
import { type ClaimHash, hashClaimKey } from "./claim_hash.js";
import { type LayoutStore, RETENTION_EPOCHS } from "./claim_layout.js";
import {
  byteSizeOf,
  type ClaimSegment,
  headKey,
  parseHead,
  parseSegment,
  type SegmentEntry,
  segmentKey,
} from "./claim_objects.js";

/** A larger head is split before anything is added. */
export const MAX_HEAD_BYTES = 200_000;

/** The head as it was last read or written. */
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
  readonly layout: LayoutStore;
}

/** Accesses the objects; caches the head and the segments' key hashes. */
export class PartitionStore {
  readonly #options: PartitionStoreOptions;
  readonly #headKey: string;
  /** Key hashes of each segment when it was read; none are added later. */
  readonly #segmentHashes = new Map<string, ReadonlySet<ClaimHash>>();
  #head: HeadState | undefined;

  constructor(options: PartitionStoreOptions) {
    this.#options = options;
    this.#headKey = headKey(options.partition);
  }

  /** The head as last read or written; it may be out of date. */
  get cachedHead(): HeadState | undefined {
    return this.#head;
  }

  clearCachedHead(): void {
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

  /** Resolves to false if the head was changed since it was read. */
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

  /** Reads the segment that contains the key at present, if any. */
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

  /** Resolves to false if the segment was changed since it was read. */
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
   * Moves claims from a large head to a new segment, and removes segments whose
   * retention time has passed. The epoch is read after the head, so that it is
   * not older than any claim in the head.
   */
  async splitHead(head: HeadState): Promise<boolean> {
    const { partition, store, layout } = this.#options;
    const { epoch } = await layout.read();
    const { moved, kept } = splitRecords(head.records);
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
    const isSplit = await this.updateHead(head, {
      segments: [...current, { name, epoch }],
      records: kept,
    });
    if (!isSplit) await this.#removeSegment(name);
    for (const entry of head.segments) {
      if (isSplit && !current.includes(entry)) {
        await this.#removeSegment(entry.name);
      }
    }
    return isSplit;
  }

  /**
   * Removes a segment to which the head doesn't refer. If the platform fails, an
   * unused object remains.
   */
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

interface SplitRecords {
  readonly moved: ReadonlyMap<ClaimHash, ClaimRecord>;
  readonly kept: ReadonlyMap<ClaimHash, ClaimRecord>;
}

/**
 * Keeps running claims, so that their outcomes are written to the head. If they
 * take up more than half of `MAX_HEAD_BYTES`, all claims are moved: claims of
 * dead holders stay in the state "running" forever and would fill the head.
 */
function splitRecords(
  records: ReadonlyMap<ClaimHash, ClaimRecord>,
): SplitRecords {
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

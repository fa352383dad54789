/**
 * Claim keepers over a store and peers in memory, for unit tests.
 *
 * @module
 */

import type { RecordedAnswer } from "@sassafrasstage/protocol/claims";
import {
  type AttemptId,
  type ClientAccountId,
  type DataCentreName,
  type Incarnation,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import { setMaxListeners } from "node:events";
import { MONOTONIC_CLOCK } from "../../clock.js";
import {
  MemoryPeerNetwork,
  MemoryPeers,
} from "../../configuration/testing/memory_peers.js";
import type { Logger } from "../../observability/logger.js";
import { Metrics } from "../../observability/metrics.js";
import type { ObjectStore } from "../../platform/object_store.js";
import {
  type MemoryConnection,
  MemoryObjectStore,
} from "../../platform/testing/memory_object_store.js";
import { type Settings, settingsSchema } from "../../settings/settings.js";
import type {
  ClaimDecision,
  ClaimRequest,
  ClaimStore,
  HeldClaim,
} from "../claim_store.js";
import { createClaimStore } from "../create_claim_store.js";

/** Long enough for a busy machine; no verdict rests on it. */
const DEADLINE_MS = 10_000;

const SILENT_LOGGER: Logger = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
};

export interface FleetClaimStore {
  readonly claimStore: ClaimStore;
  readonly network: MemoryPeerNetwork;
  readonly connection: MemoryConnection;
  readonly metrics: Metrics;
}

export interface FleetOptions {
  readonly partitions?: number;
  readonly gatherMinMs?: number;
  readonly gatherMaxMs?: number;
  /** Puts faults between a keeper and the store. */
  readonly wrap?: (store: ObjectStore) => ObjectStore;
}

/** Several keepers that share a store. */
export class ClaimStoreFleet {
  readonly store = new MemoryObjectStore();
  readonly peers = new MemoryPeers();
  readonly #options: FleetOptions;
  #nextAttempt = 1;

  constructor(options: FleetOptions = {}) {
    this.#options = options;
  }

  async start(vmId: string): Promise<FleetClaimStore> {
    const network = await this.peers.join(vmId, "palermo");
    return this.#makeKeeper(network);
  }

  /** The VM's process died, and another one has taken its place. */
  async restart(vmId: string, incarnation: string): Promise<FleetClaimStore> {
    const id = toId<VmId>(vmId);
    const former = this.peers.networks.get(id);
    former?.stop();
    if (former !== undefined) former.isCut = true;
    const network = new MemoryPeerNetwork(this.peers, {
      vmId: id,
      incarnation: toId<Incarnation>(incarnation),
      dataCentre: toId<DataCentreName>("palermo"),
    });
    this.peers.networks.set(id, network);
    await this.peers.connectAll();
    return this.#makeKeeper(network);
  }

  /** A request with a fresh attempt id. */
  request(key: string, options: RequestOptions = {}): ClaimRequest {
    return {
      key: {
        clientAccountId: toId<ClientAccountId>("account-1"),
        idempotencyKey: key,
      },
      contentSha256: options.content ?? "content-1",
      attemptId: toId<AttemptId>(`attempt-${this.#nextAttempt++}`),
      deadlineAtMs: MONOTONIC_CLOCK.nowMs() +
        (options.deadlineMs ?? DEADLINE_MS),
    };
  }

  close(): void {
    this.peers.close();
  }

  #makeKeeper(network: MemoryPeerNetwork): FleetClaimStore {
    const connection = this.store.connect();
    const metrics = new Metrics();
    const { wrap } = this.#options;
    const claimStore = createClaimStore({
      settings: makeSettings(network, this.#options),
      store: wrap === undefined ? connection : wrap(connection),
      network,
      clock: MONOTONIC_CLOCK,
      metrics,
      logger: SILENT_LOGGER,
    });
    return { claimStore, network, connection, metrics };
  }
}

export interface RequestOptions {
  readonly content?: string;
  readonly deadlineMs?: number;
}

function makeSettings(
  network: MemoryPeerNetwork,
  options: FleetOptions,
): Settings {
  return settingsSchema.parse({
    vm: { id: network.self.vmId, data_centre: network.self.dataCentre },
    listen: { http: "127.0.0.1:0", peers: "127.0.0.1:0" },
    peers: { shared_key: "a shared key for tests" },
    platform: { url: "http://127.0.0.1:1" },
    admin: { key_sha256: "0".repeat(64) },
    claims: {
      partitions: options.partitions ?? 2,
      gather_min_ms: options.gatherMinMs ?? 0,
      gather_max_ms: options.gatherMaxMs ?? 20,
    },
  });
}

/** A signal that is never aborted. */
export const WANTED: AbortSignal = new AbortController().signal;
setMaxListeners(0, WANTED);

export function claimOf(decision: ClaimDecision): HeldClaim {
  if (decision.kind === "held") return decision.claim;
  throw new Error(`Expected a held claim, got ${JSON.stringify(decision)}`);
}

export function makeAnswer(body: string): RecordedAnswer {
  return { status: 200, contentType: "application/json", body };
}

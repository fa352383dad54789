/**
 * Claim stores over an in-memory object store and peers, for unit tests.
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

/** Long enough for a busy machine; no assertion depends on it. */
const DEADLINE_MS = 10_000;

const SILENT_LOGGER: Logger = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
};

export interface FleetVm {
  readonly claimStore: ClaimStore;
  readonly network: MemoryPeerNetwork;
  readonly connection: MemoryConnection;
  readonly metrics: Metrics;
}

export interface FleetOptions {
  readonly partitions?: number;
  readonly gatherMinMs?: number;
  readonly gatherMaxMs?: number;
  /** Wraps the object store of each VM, for example to inject faults. */
  readonly wrap?: (store: ObjectStore) => ObjectStore;
}

/** Several VMs with a claim store each, on one object store. */
export class ClaimStoreFleet {
  readonly store = new MemoryObjectStore();
  readonly peers = new MemoryPeers();
  readonly #options: FleetOptions;
  #nextAttemptNumber = 1;

  constructor(options: FleetOptions = {}) {
    this.#options = options;
  }

  async start(vmId: string): Promise<FleetVm> {
    const network = await this.peers.join(vmId, "palermo");
    return this.#createVm(network);
  }

  /** Replaces the process of a VM by one with another incarnation. */
  async restart(vmId: string, incarnation: string): Promise<FleetVm> {
    const id = toId<VmId>(vmId);
    const previous = this.peers.networks.get(id);
    previous?.stop();
    if (previous !== undefined) previous.isDisconnected = true;
    const network = new MemoryPeerNetwork(this.peers, {
      vmId: id,
      incarnation: toId<Incarnation>(incarnation),
      dataCentre: toId<DataCentreName>("palermo"),
    });
    this.peers.networks.set(id, network);
    await this.peers.connectAll();
    return this.#createVm(network);
  }

  /** Creates a claim request with a new attempt id. */
  request(key: string, options: RequestOptions = {}): ClaimRequest {
    return {
      key: {
        clientAccountId: toId<ClientAccountId>("account-1"),
        idempotencyKey: key,
      },
      contentSha256: options.content ?? "content-1",
      attemptId: toId<AttemptId>(`attempt-${this.#nextAttemptNumber++}`),
      deadlineAtMs: MONOTONIC_CLOCK.nowMs() +
        (options.deadlineMs ?? DEADLINE_MS),
    };
  }

  close(): void {
    this.peers.close();
  }

  #createVm(network: MemoryPeerNetwork): FleetVm {
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
export const NEVER_ABORTED: AbortSignal = new AbortController().signal;
setMaxListeners(0, NEVER_ABORTED);

export function expectHeld(decision: ClaimDecision): HeldClaim {
  if (decision.kind === "held") return decision.claim;
  throw new Error(`Expected a held claim, got ${JSON.stringify(decision)}`);
}

export function makeAnswer(body: string): RecordedAnswer {
  return { status: 200, contentType: "application/json", body };
}

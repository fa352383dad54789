/**
 * The task of one peer: connects to the peer whenever a connection is needed
 * and there is none.
 *
 * @module
 */

import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { Clock } from "../clock.js";
import type { Address } from "../settings/settings.js";
import { Backoff } from "./backoff.js";
import { FrameChannel, MAX_BUFFERED_BYTES } from "./frame_channel.js";
import { dialHandshake, type HandshakeOptions } from "./handshake.js";
import { PeerError } from "./peer_error.js";
import type { PeerLinks } from "./peer_links.js";
import type { PeerRecord } from "./peer_record.js";

const MIN_RETRY_MS = 20;
const MAX_RETRY_MS = 1000;
/** Duration of a connection after which the backoff is reset. */
const BACKOFF_RESET_MS = 2000;

export interface PeerTaskOptions {
  readonly links: PeerLinks;
  readonly clock: Clock;
  readonly connectTimeoutMs: number;
  /** Local address of the connections; chosen by the kernel by default. */
  readonly sourceAddress?: string | undefined;
  readonly handshakeOptions: () => HandshakeOptions;
  /** Called for each connection that ended or could not be made. */
  readonly onEnded: (peer: PeerRecord, error: PeerError | undefined) => void;
  readonly signal: AbortSignal;
}

/**
 * Runs until the peer is removed or the network closes.
 *
 * @example
 * ```ts
 * void runPeerTask(peer, options);
 * ```
 */
export async function runPeerTask(
  peer: PeerRecord,
  options: PeerTaskOptions,
): Promise<void> {
  const selfVmId = options.handshakeOptions().self.vmId;
  const backoff = new Backoff({
    minMs: MIN_RETRY_MS,
    maxMs: MAX_RETRY_MS,
    seed: `${selfVmId}>${peer.vmId}`,
  });
  while (!peer.isRemoved && !options.signal.aborted) {
    const address = addressToDial(peer);
    if (address === undefined) {
      await peer.events.once("changed");
      continue;
    }
    const startedAtMs = options.clock.nowMs();
    const error = await useConnection(peer, { address, options });
    options.onEnded(peer, error);
    if (options.clock.nowMs() - startedAtMs > BACKOFF_RESET_MS) backoff.reset();
    await sleepOrAbort(backoff.nextMs(), options.signal);
  }
}

/** Returns the address to connect to now, or `undefined` if none is needed. */
function addressToDial(peer: PeerRecord): Address | undefined {
  if (peer.link !== undefined) return undefined;
  const isNeeded = peer.linkPolicy !== "onDemand" || peer.isSuspect ||
    peer.pendingFrames.length > 0;
  return isNeeded ? peer.address : undefined;
}

interface DialContext {
  readonly address: Address;
  readonly options: PeerTaskOptions;
}

/** Connects and serves the connection; returns the error if one ended it. */
async function useConnection(
  peer: PeerRecord,
  context: DialContext,
): Promise<PeerError | undefined> {
  const { address, options } = context;
  const { sourceAddress } = options;
  const socket = connect({
    ...address,
    ...(sourceAddress === undefined ? {} : { localAddress: sourceAddress }),
  });
  const channel = new FrameChannel(socket, {
    maxBufferedBytes: MAX_BUFFERED_BYTES,
  });
  const timer = setTimeout(() => {
    channel.destroy(
      new PeerError("timeout", "Connecting or the handshake timed out"),
    );
  }, options.connectTimeoutMs);
  function abort(): void {
    channel.destroy(
      new PeerError("connectionClosed", "The peer network is closing"),
    );
  }
  options.signal.addEventListener("abort", abort);
  try {
    const handshakeOptions = options.handshakeOptions();
    const authenticated = await dialHandshake(channel, {
      ...handshakeOptions,
      expectedVmId: peer.vmId,
    });
    clearTimeout(timer);
    const nowMs = options.clock.nowMs();
    await options.links.serve({
      identity: authenticated.identity,
      helloGeneration: authenticated.generation,
      dialedBy: handshakeOptions.self.vmId,
      channel,
      lastFrameAtMs: nowMs,
      lastUsedAtMs: nowMs,
    });
    return undefined;
  } catch (error) {
    return toPeerError(error);
  } finally {
    clearTimeout(timer);
    options.signal.removeEventListener("abort", abort);
    abort();
  }
}

function toPeerError(error: unknown): PeerError {
  if (error instanceof PeerError) return error;
  return new PeerError("connectionClosed", "The connection failed", {
    cause: error,
  });
}

async function sleepOrAbort(ms: number, signal: AbortSignal): Promise<void> {
  try {
    await sleep(ms, undefined, { signal });
  } catch {
    // Aborted because the network closes; the caller checks the signal.
  }
}

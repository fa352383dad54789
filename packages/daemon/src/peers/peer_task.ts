/**
 * The task of one peer: connects to it whenever a connection is needed and
 * there is none.
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
/** A connection that held for so long was a good one. */
const STEADY_LINK_MS = 2000;

export interface PeerTaskOptions {
  readonly links: PeerLinks;
  readonly clock: Clock;
  readonly connectTimeoutMs: number;
  /** Local address of the connections; the kernel's choice by default. */
  readonly sourceAddress?: string | undefined;
  readonly handshake: () => HandshakeOptions;
  /** Called for each connection that ended or could not be made. */
  readonly onEnded: (peer: PeerRecord, error: PeerError | undefined) => void;
  readonly signal: AbortSignal;
}

/**
 * Runs until the peer is forgotten or the network closes.
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
  const selfId = options.handshake().self.vmId;
  const backoff = new Backoff({
    minMs: MIN_RETRY_MS,
    maxMs: MAX_RETRY_MS,
    seed: `${selfId}>${peer.vmId}`,
  });
  while (!peer.isForgotten && !options.signal.aborted) {
    const address = addressToDial(peer);
    if (address === undefined) {
      await peer.events.once("changed");
      continue;
    }
    const startedAtMs = options.clock.nowMs();
    const error = await useConnection(peer, { address, options });
    options.onEnded(peer, error);
    if (options.clock.nowMs() - startedAtMs > STEADY_LINK_MS) backoff.reset();
    await sleepUntil(backoff.nextMs(), options.signal);
  }
}

/** Where to connect to now, if a connection is needed. */
function addressToDial(peer: PeerRecord): Address | undefined {
  if (peer.link !== undefined) return undefined;
  const isNeeded = peer.linkNeed !== "onDemand" || peer.isSuspect ||
    peer.pendingFrames.length > 0;
  return isNeeded ? peer.address : undefined;
}

interface Dial {
  readonly address: Address;
  readonly options: PeerTaskOptions;
}

/** Connects, and uses the connection to its end; returns what ended it. */
async function useConnection(
  peer: PeerRecord,
  dial: Dial,
): Promise<PeerError | undefined> {
  const { address, options } = dial;
  const { sourceAddress } = options;
  const socket = connect({
    ...address,
    ...(sourceAddress === undefined ? {} : { localAddress: sourceAddress }),
  });
  const channel = new FrameChannel(socket, {
    maxBufferedBytes: MAX_BUFFERED_BYTES,
  });
  const timer = setTimeout(() => {
    channel.destroy(new PeerError("timeout", "The handshake took too long"));
  }, options.connectTimeoutMs);
  function abort(): void {
    channel.destroy(new PeerError("connectionClosed", "The network closed"));
  }
  options.signal.addEventListener("abort", abort);
  try {
    const handshake = options.handshake();
    const proved = await dialHandshake(channel, {
      ...handshake,
      expectedVmId: peer.vmId,
    });
    clearTimeout(timer);
    const nowMs = options.clock.nowMs();
    await options.links.serve({
      identity: proved.identity,
      helloGeneration: proved.generation,
      dialedBy: handshake.self.vmId,
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

async function sleepUntil(ms: number, signal: AbortSignal): Promise<void> {
  try {
    await sleep(ms, undefined, { signal });
  } catch {
    // Aborted: the network closes, and the caller looks at the signal.
  }
}

/**
 * The first messages of a connection: both sides prove that they know the
 * shared key before anything else is read.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import {
  type HelloMessage,
  MAX_FRAME_BYTES,
  PEER_PROTOCOL_VERSION,
} from "@sassafrasstage/protocol/peer_messages";
import { randomBytes } from "node:crypto";
import type { FrameChannel } from "./frame_channel.js";
import { encodeFrame } from "./frame_codec.js";
import {
  type HandshakeRole,
  isProofValid,
  makeProof,
} from "./handshake_proof.js";
import { isChallengeMessage, isHelloMessage } from "./message_check.js";
import { PeerError } from "./peer_error.js";
import type { PeerIdentity } from "./peer_network.js";

const NONCE_BYTES = 16;

export interface HandshakeOptions {
  readonly sharedKey: string;
  readonly self: PeerIdentity;
  readonly generation: number;
}

/** What a peer has proved about itself. */
export interface ProvedPeer {
  readonly identity: PeerIdentity;
  readonly generation: number;
}

/**
 * The handshake from the side that dialed.
 *
 * @example
 * ```ts
 * const peer = await dialHandshake(channel, { ...options, expectedVmId });
 * ```
 */
export async function dialHandshake(
  channel: FrameChannel,
  options: HandshakeOptions & { readonly expectedVmId: VmId },
): Promise<ProvedPeer> {
  const challenge = await channel.receive();
  if (!isChallengeMessage(challenge)) throw unexpected(challenge);
  const nonce = makeNonce();
  sendHello(channel, {
    options,
    role: "dialer",
    nonce,
    verifierNonce: challenge.nonce,
    verifierVmId: options.expectedVmId,
  });
  const hello = await receiveHello(channel);
  checkHello(hello, { options, role: "acceptor", verifierNonce: nonce });
  if (hello.vmId !== options.expectedVmId) {
    throw new PeerError("unexpectedVm", `Reached ${hello.vmId} instead`);
  }
  channel.raiseFrameLimit(MAX_FRAME_BYTES);
  return toProvedPeer(hello);
}

/**
 * The handshake from the side that was dialed.
 *
 * @example
 * ```ts
 * const peer = await acceptHandshake(channel, options);
 * ```
 */
export async function acceptHandshake(
  channel: FrameChannel,
  options: HandshakeOptions,
): Promise<ProvedPeer> {
  const nonce = makeNonce();
  channel.send(encodeFrame({ type: "challenge", nonce }));
  const hello = await receiveHello(channel);
  checkHello(hello, { options, role: "dialer", verifierNonce: nonce });
  if (hello.vmId === options.self.vmId) {
    throw new PeerError("unexpectedVm", "The peer claims to be this VM");
  }
  sendHello(channel, {
    options,
    role: "acceptor",
    nonce,
    verifierNonce: hello.nonce,
    verifierVmId: hello.vmId,
  });
  channel.raiseFrameLimit(MAX_FRAME_BYTES);
  return toProvedPeer(hello);
}

interface HelloToSend {
  readonly options: HandshakeOptions;
  readonly role: HandshakeRole;
  readonly nonce: string;
  readonly verifierNonce: string;
  readonly verifierVmId: VmId;
}

function sendHello(channel: FrameChannel, toSend: HelloToSend): void {
  const { options, role, nonce, verifierNonce, verifierVmId } = toSend;
  const hello = {
    type: "hello" as const,
    ...options.self,
    protocolVersion: PEER_PROTOCOL_VERSION,
    generation: options.generation,
    nonce,
  };
  const proof = makeProof(options.sharedKey, {
    role,
    hello,
    verifierNonce,
    verifierVmId,
  });
  channel.send(encodeFrame({ ...hello, proof }));
}

async function receiveHello(channel: FrameChannel): Promise<HelloMessage> {
  const hello = await channel.receive();
  if (!isHelloMessage(hello)) throw unexpected(hello);
  return hello;
}

interface HelloExpectation {
  readonly options: HandshakeOptions;
  readonly role: HandshakeRole;
  readonly verifierNonce: string;
}

function checkHello(hello: HelloMessage, expected: HelloExpectation): void {
  if (hello.protocolVersion !== PEER_PROTOCOL_VERSION) {
    throw new PeerError(
      "otherProtocolVersion",
      `The peer speaks version ${hello.protocolVersion}`,
    );
  }
  const { options, role, verifierNonce } = expected;
  const verifierVmId = options.self.vmId;
  const isValid = isProofValid(hello.proof, {
    sharedKey: options.sharedKey,
    subject: { role, hello, verifierNonce, verifierVmId },
  });
  if (isValid) return;
  throw new PeerError("wrongSharedKey", "The proof does not fit the key");
}

function unexpected(received: unknown): PeerError {
  if (received === undefined) {
    return new PeerError("connectionClosed", "Closed during the handshake");
  }
  return new PeerError("badFrame", "Expected a handshake message");
}

function toProvedPeer(hello: HelloMessage): ProvedPeer {
  const { vmId, incarnation, dataCentre, generation } = hello;
  return { identity: { vmId, incarnation, dataCentre }, generation };
}

function makeNonce(): string {
  return randomBytes(NONCE_BYTES).toString("hex");
}

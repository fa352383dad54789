/**
 * The handshake of a connection: both sides prove that they know the shared
 * key before any other message is read.
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

/** A peer that has completed the handshake. */
export interface AuthenticatedPeer {
  readonly identity: PeerIdentity;
  readonly generation: number;
}

/**
 * Runs the handshake on the side that opened the connection. Throws a
 * `PeerError` if the peer is not the expected VM or fails the checks.
 *
 * @example
 * ```ts
 * const peer = await dialHandshake(channel, { ...options, expectedVmId });
 * ```
 */
export async function dialHandshake(
  channel: FrameChannel,
  options: HandshakeOptions & { readonly expectedVmId: VmId },
): Promise<AuthenticatedPeer> {
  const challenge = await channel.receive();
  if (!isChallengeMessage(challenge)) throw unexpectedMessageError(challenge);
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
    throw new PeerError("unexpectedVm", `Reached VM ${hello.vmId} instead`);
  }
  channel.raiseFrameLimit(MAX_FRAME_BYTES);
  return toAuthenticatedPeer(hello);
}

/**
 * Runs the handshake on the side that accepted the connection. Throws a
 * `PeerError` if the peer fails the checks or claims to be this VM.
 *
 * @example
 * ```ts
 * const peer = await acceptHandshake(channel, options);
 * ```
 */
export async function acceptHandshake(
  channel: FrameChannel,
  options: HandshakeOptions,
): Promise<AuthenticatedPeer> {
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
  return toAuthenticatedPeer(hello);
}

interface HelloParameters {
  readonly options: HandshakeOptions;
  readonly role: HandshakeRole;
  readonly nonce: string;
  readonly verifierNonce: string;
  readonly verifierVmId: VmId;
}

function sendHello(channel: FrameChannel, parameters: HelloParameters): void {
  const { options, role, nonce, verifierNonce, verifierVmId } = parameters;
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
  if (!isHelloMessage(hello)) throw unexpectedMessageError(hello);
  return hello;
}

interface ExpectedHello {
  readonly options: HandshakeOptions;
  readonly role: HandshakeRole;
  readonly verifierNonce: string;
}

function checkHello(hello: HelloMessage, expected: ExpectedHello): void {
  if (hello.protocolVersion !== PEER_PROTOCOL_VERSION) {
    throw new PeerError(
      "otherProtocolVersion",
      `The peer uses protocol version ${hello.protocolVersion}`,
    );
  }
  const { options, role, verifierNonce } = expected;
  const verifierVmId = options.self.vmId;
  const isValid = isProofValid(hello.proof, {
    sharedKey: options.sharedKey,
    subject: { role, hello, verifierNonce, verifierVmId },
  });
  if (isValid) return;
  throw new PeerError("wrongSharedKey", "The peer's proof is invalid");
}

function unexpectedMessageError(received: unknown): PeerError {
  if (received === undefined) {
    return new PeerError(
      "connectionClosed",
      "The connection closed during the handshake",
    );
  }
  return new PeerError("badFrame", "Expected a handshake message");
}

function toAuthenticatedPeer(hello: HelloMessage): AuthenticatedPeer {
  const { vmId, incarnation, dataCentre, generation } = hello;
  return { identity: { vmId, incarnation, dataCentre }, generation };
}

function makeNonce(): string {
  return randomBytes(NONCE_BYTES).toString("hex");
}

/**
 * Computes and verifies the HMAC by which a daemon proves that it knows the
 * shared key.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { HelloMessage } from "@sassafrasstage/protocol/peer_messages";
import { createHmac, timingSafeEqual } from "node:crypto";

export type HandshakeRole = "dialer" | "acceptor";

export type HelloWithoutProof = Omit<HelloMessage, "proof">;

/** The data that a proof authenticates. */
export interface ProofSubject {
  /** The side that makes the proof. */
  readonly role: HandshakeRole;
  readonly hello: HelloWithoutProof;
  /** The nonce chosen by the verifying side. */
  readonly verifierNonce: string;
  /** The VM that verifies the proof. */
  readonly verifierVmId: VmId;
}

/** Keeps the HMAC distinct from other uses of the same key. */
const HMAC_CONTEXT = "sassafrasstage peer handshake";

/**
 * Makes the proof for a hello message. It covers the role, both VM ids and both
 * nonces, so that it can't be reflected to its sender, forwarded to another VM
 * or replayed.
 *
 * @example
 * ```ts
 * const proof = makeProof(sharedKey, subject);
 * ```
 */
export function makeProof(sharedKey: string, subject: ProofSubject): string {
  return computeMac(sharedKey, subject).toString("hex");
}

/**
 * Whether the proof was made with the expected key and subject. Compares in
 * constant time.
 *
 * @example
 * ```ts
 * if (!isProofValid(hello.proof, { sharedKey, subject })) socket.destroy();
 * ```
 */
export function isProofValid(
  proof: string,
  expected: { readonly sharedKey: string; readonly subject: ProofSubject },
): boolean {
  const mac = computeMac(expected.sharedKey, expected.subject);
  const receivedMac = Buffer.from(proof, "hex");
  return receivedMac.length === mac.length && timingSafeEqual(receivedMac, mac);
}

function computeMac(sharedKey: string, subject: ProofSubject): Buffer {
  const { hello } = subject;
  const text = JSON.stringify([
    HMAC_CONTEXT,
    subject.role,
    hello.vmId,
    hello.incarnation,
    hello.dataCentre,
    hello.protocolVersion,
    hello.generation,
    hello.nonce,
    subject.verifierVmId,
    subject.verifierNonce,
  ]);
  return createHmac("sha256", sharedKey).update(text).digest();
}

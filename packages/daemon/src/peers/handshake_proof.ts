/**
 * The proof that a daemon knows the shared key.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { HelloMessage } from "@sassafrasstage/protocol/peer_messages";
import { createHmac, timingSafeEqual } from "node:crypto";

export type HandshakeRole = "dialer" | "acceptor";

export type UnprovedHello = Omit<HelloMessage, "proof">;

/** Everything that a proof is bound to beside the key. */
export interface ProofSubject {
  /** The side that proves itself. */
  readonly role: HandshakeRole;
  readonly hello: UnprovedHello;
  /** The nonce of the side that checks. */
  readonly verifierNonce: string;
  /** The VM that is to check the proof. */
  readonly verifierVmId: VmId;
}

const PURPOSE = "sassafrasstage peer handshake";

/**
 * Makes the proof for a hello. It names the role, both VMs and both nonces, so
 * that it is of no use in the other direction, to another VM or a second time.
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
 * Whether the proof was made with the same key for the same subject.
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
  const given = Buffer.from(proof, "hex");
  return given.length === mac.length && timingSafeEqual(given, mac);
}

function computeMac(sharedKey: string, subject: ProofSubject): Buffer {
  const { hello } = subject;
  const text = JSON.stringify([
    PURPOSE,
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

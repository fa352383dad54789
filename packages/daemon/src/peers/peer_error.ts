/**
 * Errors of the layer that talks to other daemons.
 *
 * @module
 */

export type PeerErrorKind =
  /** The bytes aren't a frame, or the frame isn't the expected message. */
  | "badFrame"
  /** The other side doesn't know the shared key. */
  | "wrongSharedKey"
  /** The other side speaks another version of the protocol. */
  | "otherProtocolVersion"
  /** The other side is not the VM that was dialed, or claims to be this VM. */
  | "unexpectedVm"
  /** The other side belongs to a process life that was already replaced. */
  | "replacedIncarnation"
  /** The connection ended before the handshake was over. */
  | "connectionClosed"
  /** The handshake or the connect took too long. */
  | "timeout"
  /** The other side doesn't read what is sent to it. */
  | "notReading"
  /** Nothing was heard for too long. */
  | "silent";

/** A connection to another daemon that can't be used or goes on no longer. */
export class PeerError extends Error {
  override readonly name = "PeerError";
  readonly kind: PeerErrorKind;

  constructor(kind: PeerErrorKind, message: string, options?: ErrorOptions) {
    super(message, options);
    this.kind = kind;
  }
}

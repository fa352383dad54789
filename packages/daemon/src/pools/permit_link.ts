/**
 * How owner and permit client reach each other, on this daemon or another.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { PeerMessage } from "@sassafrasstage/protocol/peer_messages";

export interface PermitLink {
  /** False when there is no connection; nothing was sent then. */
  send(to: VmId, message: PeerMessage): boolean;
}

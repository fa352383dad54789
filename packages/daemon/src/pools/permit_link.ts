/**
 * Transport between owners and permit clients, on the same daemon or another.
 *
 * @module
 */

import type { VmId } from "@sassafrasstage/protocol/ids";
import type { PeerMessage } from "@sassafrasstage/protocol/peer_messages";

export interface PermitLink {
  /** Returns false, without sending, when there is no connection. */
  send(to: VmId, message: PeerMessage): boolean;
}

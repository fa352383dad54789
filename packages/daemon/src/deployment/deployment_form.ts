/**
 * How the objects that describe a deployment are named and read; the adapter
 * of the platform provides it.
 *
 * @module
 */

import type {
  BackendServerId,
  DataCentreName,
} from "@sassafrasstage/protocol/ids";
import type {
  ListedVm,
  StoredObject,
} from "@sassafrasstage/protocol/platform_objects";
import type { RoutingConfiguration } from "../routing/routing_configuration.js";
import type { ServerReport } from "../register/server_register.js";

/** What was read, or why it can't be read. */
export type Readout<Value> =
  | { readonly kind: "value"; readonly value: Value }
  | { readonly kind: "unreadable"; readonly detail: string };

export interface DeploymentForm {
  readonly configurationPrefix: string;
  readonly serversPrefix: string;
  readonly takenOutPrefix: string;
  readonly entryVmsPrefix: string;
  readConfiguration(object: StoredObject): Readout<RoutingConfiguration>;
  serverId(object: StoredObject): BackendServerId;
  readServer(object: StoredObject): Readout<ServerReport>;
  /** The data centre that the object takes out of service. */
  readTakenOut(object: StoredObject): DataCentreName;
  readEntryVm(object: StoredObject): Readout<ListedVm>;
  /** The object by which this VM makes itself known. */
  entryVmObject(
    vm: ListedVm,
  ): { readonly key: string; readonly value: unknown };
}

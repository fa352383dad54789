/**
 * The keys and the format of the objects that describe a deployment, provided
 * by the platform's adapter.
 *
 * @module
 */

import type {
  BackendServerId,
  DataCentreName,
  SuspectId,
} from "@sassafrasstage/protocol/ids";
import type {
  ListedVm,
  StoredObject,
} from "@sassafrasstage/protocol/platform_objects";
import type { PartBlock } from "../poison_parts/part_blocks.js";
import type { RolloutObjectFormat } from "../rollouts/rollout_request.js";
import type { RoutingConfiguration } from "../routing/routing_configuration.js";
import type { ServedVersionFormat } from "../stream_versions/served_versions.js";
import type { ServerReport } from "../register/server_register.js";
import type { ReadResult } from "./read_result.js";

export interface DeploymentObjectFormat
  extends ServedVersionFormat, RolloutObjectFormat {
  readonly configurationPrefix: string;
  readonly serversPrefix: string;
  readonly dataCentresOutPrefix: string;
  readonly entryVmsPrefix: string;
  readonly partBlocksPrefix: string;
  readConfiguration(object: StoredObject): ReadResult<RoutingConfiguration>;
  serverId(object: StoredObject): BackendServerId;
  readServer(object: StoredObject): ReadResult<ServerReport>;
  /** The data centre that the object marks as out of service. */
  readDataCentreOut(object: StoredObject): DataCentreName;
  readEntryVm(object: StoredObject): ReadResult<ListedVm>;
  /** The object that lists this VM as an entry VM. */
  entryVmObject(
    vm: ListedVm,
  ): { readonly key: string; readonly value: unknown };
  readPartBlock(object: StoredObject): ReadResult<PartBlock>;
  /** The key of the object that blocks the part. */
  partBlockKey(part: SuspectId): string;
  partBlockValue(block: PartBlock): unknown;
}

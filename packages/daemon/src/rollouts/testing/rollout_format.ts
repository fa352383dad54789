/**
 * A format of rollout objects for unit tests.
 *
 * @module
 */

import type {
  ServiceName,
  SoftwareVersion,
} from "@sassafrasstage/protocol/ids";
import type {
  RolloutObjectFormat,
  RolloutRecord,
  RolloutState,
} from "../rollout_request.js";

interface RequestValue {
  readonly service: ServiceName;
  readonly to: SoftwareVersion;
  readonly durationMs: number;
}

interface StatusValue {
  readonly state: RolloutState;
  readonly to: SoftwareVersion;
}

export const ROLLOUT_FORMAT: RolloutObjectFormat = {
  rolloutsPrefix: "rollouts/",
  readRollout: (object) => {
    const request = object.value as RequestValue;
    const status = object.status as StatusValue | undefined;
    return {
      kind: "value",
      value: {
        key: object.key,
        revision: object.version,
        request: { ...request, id: `${object.creation ?? ""}/${request.to}` },
        state: status?.to === request.to ? status.state : undefined,
      },
    };
  },
  rolloutStatus: (status) => status,
  rolloutRecordKey: (service) => `records/${service}`,
  rolloutRecordValue: (record) => record,
  readRolloutRecord: (object) => ({
    kind: "value",
    value: object.value as RolloutRecord,
  }),
};

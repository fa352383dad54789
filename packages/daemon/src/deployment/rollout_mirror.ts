/**
 * The local copy of the operator's rollout requests.
 *
 * @module
 */

import type { StoredObject } from "@sassafrasstage/protocol/platform_objects";
import type { DeploymentObjectFormat } from "./deployment_object_format.js";
import { type EraChange, ObjectMirror } from "./object_mirror.js";

/** Learns of the rollout requests in the store. */
export interface RolloutListener {
  applyObject(object: StoredObject): void;
  removeObject(object: StoredObject): void;
  handleEraChange(): void;
}

/** Returns undefined where rollouts aren't supervised. */
export function makeRolloutMirror(
  options: {
    readonly objectFormat: DeploymentObjectFormat;
    readonly rollouts?: RolloutListener | undefined;
  },
  onEraChanged: (mirror: ObjectMirror, change: EraChange) => void,
): ObjectMirror | undefined {
  const { objectFormat, rollouts } = options;
  if (rollouts === undefined) return undefined;
  const mirror = new ObjectMirror(objectFormat.rolloutsPrefix, {
    onUpdated: (object) => {
      rollouts.applyObject(object);
    },
    onDeleted: (object) => {
      rollouts.removeObject(object);
    },
    onEraChanged: (change) => {
      rollouts.handleEraChange();
      onEraChanged(mirror, change);
    },
  });
  return mirror;
}

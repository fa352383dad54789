/**
 * Makes the deployments by name.
 *
 * @module
 */

import { makeConsorzio } from "./consorzio.js";
import type { Deployment } from "./deployment.js";
import type { DeploymentName } from "./example_files.js";
import { makeStratos } from "./stratos.js";

/**
 * @example
 * ```ts
 * const deployment = makeDeployment("stratos");
 * ```
 */
export function makeDeployment(name: DeploymentName): Deployment {
  switch (name) {
    case "consorzio":
      return makeConsorzio();
    case "stratos":
      return makeStratos();
  }
}

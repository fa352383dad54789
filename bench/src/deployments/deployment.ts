/**
 * What the benchmark adds to an example deployment: the service times of its
 * stand-ins and the load of its callers.
 *
 * @module
 */

import type { ConfigurationContent } from "@sassafrasstage/protocol/configuration";
import type { WeightedChoice } from "../load/arrivals.js";
import type { DeploymentName } from "./example_files.js";

/** How long a warm stand-in of a service processes one call. */
export type ServiceTimes =
  | {
    readonly kind: "plain";
    readonly service: string;
    readonly workMs: number;
    /** Upper bound of the uniformly distributed time added to `workMs`. */
    readonly jitterMs: number;
  }
  | {
    readonly kind: "modelEngine";
    readonly service: string;
    readonly firstTokenMs: number;
    readonly betweenTokensMs: number;
    /** Number of prompt prefixes that one engine caches. */
    readonly prefixCapacity: number;
  };

/** A deployment as the benchmark runs it. */
export interface Deployment {
  readonly name: DeploymentName;
  readonly content: ConfigurationContent;
  readonly serviceTimes: readonly ServiceTimes[];
  readonly pipelineMix: readonly WeightedChoice[];
  readonly clientAccountMix: readonly WeightedChoice[];
  /** The client account that sends the additional requests of a burst. */
  readonly burstingAccount: string;
  /** The data centre that is taken out of service and brought back. */
  readonly dataCentreTakenOut: string;
}

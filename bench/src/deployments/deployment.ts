/**
 * What the bench adds to an example deployment: how long its stand-ins work
 * and what its callers ask for.
 *
 * @module
 */

import type { ConfigurationContent } from "@sassafrasstage/protocol/configuration";
import type { Weighted } from "../load/arrivals.js";
import type { DeploymentName } from "./example_files.js";

/** How long a stand-in of a service works on one call while warm. */
export type ServiceTimes =
  | {
    readonly kind: "plain";
    readonly service: string;
    readonly workMs: number;
    /** Added, evenly spread from 0. */
    readonly jitterMs: number;
  }
  | {
    readonly kind: "modelEngine";
    readonly service: string;
    readonly firstTokenMs: number;
    readonly betweenTokensMs: number;
    /** Prompt prefixes that one engine holds. */
    readonly prefixCapacity: number;
  };

/** A deployment as the bench runs it. */
export interface Deployment {
  readonly name: DeploymentName;
  readonly content: ConfigurationContent;
  readonly serviceTimes: readonly ServiceTimes[];
  readonly pipelineMix: readonly Weighted[];
  readonly clientAccountMix: readonly Weighted[];
  /** Sends the extra requests of the burst scenario. */
  readonly burstingAccount: string;
  /** The data centre that leaves and returns. */
  readonly leavingDataCentre: string;
}

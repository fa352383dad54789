/**
 * An entry of the list of stand-in backend servers that `bin/server_farm.ts`
 * reads.
 *
 * @module
 */

import type { EngineOptions } from "./engine_stand_in.js";
import type { PlainServiceOptions } from "./plain_service_stand_in.js";

export type FarmServer =
  | {
    readonly id: string;
    readonly kind: "modelEngine";
    readonly options: EngineOptions;
  }
  | {
    readonly id: string;
    readonly kind: "plain";
    readonly options: PlainServiceOptions;
  };

/**
 * `npm run bench:slopes`: measures how the cost of each part of the control
 * plane grows with size, and prints the table that `docs/CAPACITY.md` includes.
 *
 * @module
 */

import { measureClaimSlopes } from "./slopes/claim_slopes.js";
import { measureClusterSlopes } from "./slopes/cluster_slopes.js";
import { measureConfigurationSlopes } from "./slopes/configuration_slopes.js";
import { measureMessageSlopes } from "./slopes/message_slopes.js";
import { measurePoolSlopes } from "./slopes/pool_slopes.js";
import { formatSlopes } from "./slopes/slope_series.js";

console.log(formatSlopes([
  ...measureConfigurationSlopes(),
  ...measurePoolSlopes(),
  ...measureClaimSlopes(),
  ...await measureMessageSlopes(),
  ...await measureClusterSlopes(),
]));

/**
 * Runs the platform stand-in as a process.
 *
 * @module
 */

import { Command } from "commander";
import { PlatformStandIn } from "../platform/platform_stand_in.js";
import { announce } from "./announce.js";

interface Options {
  readonly seed: string;
}

const program = new Command("platform")
  .description("Run the platform stand-in: object API and VM list")
  .option("--seed <number>", "seed of random faults", "1")
  .parse();

const options = program.opts<Options>();
const platform = new PlatformStandIn({ seed: Number(options.seed) });
await platform.start();
announce({ url: platform.url, controlUrl: platform.controlUrl });

/**
 * Runs one model engine stand-in as a process.
 *
 * @module
 */

import { Command } from "commander";
import { EngineStandIn } from "../backend_servers/engine_stand_in.js";
import { announce } from "./announce.js";

interface Options {
  readonly seed: string;
  readonly firstTokenMs: string;
  readonly betweenTokensMs: string;
  readonly batchSize: string;
  readonly coldLimit: string;
  readonly cold: boolean;
}

const program = new Command("engine")
  .description("Run a model engine stand-in")
  .option("--seed <number>", "seed of the random numbers", "1")
  .option("--first-token-ms <number>", "time to the first token", "20")
  .option("--between-tokens-ms <number>", "time between tokens", "2")
  .option("--batch-size <number>", "maximum number of concurrent calls", "8")
  .option(
    "--cold-limit <number>",
    "maximum number of concurrent calls while cold",
    "2",
  )
  .option("--cold", "start cold", false)
  .parse();

const options = program.opts<Options>();
const engine = new EngineStandIn({
  seed: Number(options.seed),
  timings: {
    firstTokenMs: Number(options.firstTokenMs),
    betweenTokensMs: Number(options.betweenTokensMs),
    batchSize: Number(options.batchSize),
  },
  coldStart: {
    isColdAtStart: options.cold,
    coldLimit: Number(options.coldLimit),
  },
});
await engine.start();
announce({ url: engine.url, controlUrl: engine.controlUrl });

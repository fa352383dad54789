/**
 * Runs one plain service stand-in as a process.
 *
 * @module
 */

import { Command } from "commander";
import { PlainServiceStandIn } from "../backend_servers/plain_service_stand_in.js";
import { announce } from "./announce.js";

interface Options {
  readonly seed: string;
  readonly name: string;
  readonly workMs: string;
  readonly jitterMs: string;
  readonly coldLimit: string;
  readonly cold: boolean;
}

const program = new Command("plain-service")
  .description("Run a plain service stand-in")
  .option("--seed <number>", "seed of the random numbers", "1")
  .option("--name <text>", "prefix of the numbers returned", "plain")
  .option("--work-ms <number>", "work time of a call", "5")
  .option("--jitter-ms <number>", "maximum random time added to a call", "0")
  .option(
    "--cold-limit <number>",
    "maximum number of concurrent calls while cold",
    "2",
  )
  .option("--cold", "start cold", false)
  .parse();

const options = program.opts<Options>();
const service = new PlainServiceStandIn({
  seed: Number(options.seed),
  name: options.name,
  workMs: Number(options.workMs),
  jitterMs: Number(options.jitterMs),
  coldStart: {
    isColdAtStart: options.cold,
    coldLimit: Number(options.coldLimit),
  },
});
await service.start();
announce({ url: service.url, controlUrl: service.controlUrl });

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
  .description("A plain service stand-in")
  .option("--seed <number>", "seed of random faults", "1")
  .option("--name <text>", "prefix of the numbers handed out", "plain")
  .option("--work-ms <number>", "time of a call", "5")
  .option("--jitter-ms <number>", "random time added to a call", "0")
  .option("--cold-limit <number>", "calls that it bears while cold", "2")
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

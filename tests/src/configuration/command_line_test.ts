import {
  ADMIN_KEY,
  type Cluster,
  startCluster,
} from "@sassafrasstage/stand-ins/cluster/cluster";
import { expect } from "earl";
import { readFileSync } from "node:fs";
import { after, before, describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { CLUSTER_PLAN, daemonAt } from "./configuration_cluster.js";
import { OperatorShell } from "./operator_shell.js";

const PAGES = [
  "running_and_rolling_out",
  "changing_register_and_rules",
  "taking_out_of_service",
  "reading_status",
];

/** Returns the command lines in the code blocks of a page. */
function readCommands(page: string): string[] {
  const path = `../../../docs/operators/${page}.md`;
  const url = new URL(path, import.meta.url);
  const text = readFileSync(fileURLToPath(url), "utf8");
  const blocks = [...text.matchAll(/^```\n(?<block>[^]*?)^```$/gm)];
  return blocks.flatMap((match) =>
    (match.groups?.["block"] ?? "").split("\n").filter((line) =>
      /^(sassafrasstaged? |curl )/.test(line)
    )
  );
}

describe("the command line", () => {
  let cluster: Cluster;
  let shell: OperatorShell;

  before(async () => {
    cluster = await startCluster({ ...CLUSTER_PLAN, isProxied: false });
    shell = new OperatorShell({
      SASSAFRASSTAGE_URL: daemonAt(cluster, 0).httpUrl,
      SASSAFRASSTAGE_ADMIN_KEY: ADMIN_KEY,
      SASSAFRASSTAGE_KEY: "boutique-key",
    });
  });

  after(async () => {
    shell.remove();
    await cluster.stop();
  });

  async function exitCodeOf(line: string): Promise<number | null> {
    return (await shell.run(line)).exitCode;
  }

  it("sends a request and prints the whole answer", async () => {
    const sent = await shell.run(
      `sassafrasstage request send look --input '{"number": 7}' --json`,
    );
    expect(sent).toLooseEqual(expect.subset({ exitCode: 0 }));
    const answer = JSON.parse(sent.output) as { pipeline: string };
    expect(answer.pipeline).toEqual("look");
    const refused = await shell.run(
      `sassafrasstage request send absent --input 1`,
    );
    expect(refused.exitCode).toEqual(1);
    expect(refused.messages).toMatchRegex(/^unknownPipeline: /);
  });

  it("prints the text of a stream, or its events with --json", async () => {
    const send = "sassafrasstage request send write --stream " +
      `--input '{"prompt": "a short note"}'`;
    const printed = await shell.run(send);
    expect(printed).toLooseEqual(expect.subset({ exitCode: 0 }));
    const events = await shell.run(`${send} --json`);
    const lines = events.output.trim().split("\n").map((line) =>
      JSON.parse(line) as { event: string; data: { text?: string } }
    );
    const tokens = lines.filter((line) => line.event === "token");
    expect(tokens.length).toBeGreaterThan(1);
    expect(lines.at(-1)?.event).toEqual("answer");
    const text = tokens.map((line) => line.data.text).join("");
    expect(printed.output.trim()).toEqual(text.trim());
  });

  it("ends with the documented exit codes", async () => {
    const getCommand = "sassafrasstage config get > now.json";
    expect(await exitCodeOf(getCommand)).toEqual(0);
    const applyCommand = "sassafrasstage config apply now.json";
    expect(await exitCodeOf(`${applyCommand} --wait`)).toEqual(0);
    expect(await exitCodeOf(applyCommand)).toEqual(4);
    expect(await exitCodeOf(`${getCommand}; ${applyCommand} --based-on 1`))
      .toEqual(4);
    expect(await exitCodeOf("sassafrasstage data-centre out rome")).toEqual(1);
    expect(await exitCodeOf("sassafrasstage --admin-key wrong status"))
      .toEqual(1);
    expect(await exitCodeOf("sassafrasstage config apply absent.json"))
      .toEqual(2);
    expect(await exitCodeOf("sassafrasstage status --wrong")).toEqual(2);
    expect(
      await exitCodeOf("sassafrasstage --url http://127.0.0.1:1 status"),
    ).toEqual(3);
  });

  it("names the daemons that don't report a generation in time", async () => {
    const frozen = daemonAt(cluster, 5);
    frozen.suspend();
    try {
      const result = await shell.run(
        "sassafrasstage backend-server out registry-palermo-1 --wait " +
          "--wait-timeout-ms 1",
      );
      expect(result.exitCode).toEqual(5);
      expect(result.messages).toMatchRegex(new RegExp(frozen.vmId));
    } finally {
      frozen.resume();
    }
    const returnCommand =
      "sassafrasstage backend-server in registry-palermo-1 --wait";
    expect(await exitCodeOf(returnCommand)).toEqual(0);
  });

  it("runs each command in the operator documentation as written", async () => {
    const { host } = new URL(daemonAt(cluster, 0).httpUrl);
    let commandCount = 0;
    for (const line of PAGES.flatMap(readCommands)) {
      // A daemon can only be started with the address of its own VM.
      if (/^sassafrasstaged (?!.*--check)/.test(line)) continue;
      const command = line.replace("127.0.0.1:7000", host);
      const result = await shell.run(command);
      expect({ line, ...result }).toLooseEqual(
        expect.subset({ line, exitCode: 0 }),
      );
      commandCount += 1;
    }
    expect(commandCount).toBeGreaterThan(15);
  });
});

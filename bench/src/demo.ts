/**
 * `npm run demo`: starts stand-ins and three entry VM daemons, sends requests
 * through them over HTTP, prints each answer and exits.
 *
 * @module
 */

import { startCluster } from "@sassafrasstage/stand-ins/cluster/cluster";
import { DEMO_KEY, DEMO_PLAN, DEMO_REQUESTS } from "./demo/demo_plan.js";
import { formatReply } from "./demo/format_reply.js";
import { Agent } from "undici";
import { callPipeline } from "./load/pipeline_call.js";

const REQUEST_TIMEOUT_MS = 10_000;

console.log("Starting the stand-ins and three entry VM daemons");
const cluster = await startCluster(DEMO_PLAN);
const dispatcher = new Agent();
let failures = 0;
try {
  for (const { vmId, dataCentre, httpUrl, processId } of cluster.daemons) {
    console.log(`${vmId} in ${dataCentre}: ${httpUrl}, process ${processId}`);
  }
  for (const [index, request] of DEMO_REQUESTS.entries()) {
    const daemon = cluster.daemons[index % cluster.daemons.length];
    if (daemon === undefined) throw new Error("No daemon was started");
    const tokens: string[] = [];
    const reply = await callPipeline({
      ...request,
      key: DEMO_KEY,
      baseUrl: daemon.httpUrl,
      onToken: (data) => tokens.push(data),
    }, { dispatcher, signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) });
    if (reply.kind === "problem") failures += 1;
    console.log(
      formatReply({
        request,
        vmId: daemon.vmId,
        reply,
        streamedTokens: tokens.length,
      }),
    );
  }
} finally {
  await dispatcher.close();
  await cluster.stop();
}
console.log(
  failures === 0
    ? `\nAll ${DEMO_REQUESTS.length} requests were answered`
    : `\n${failures} requests were refused`,
);
process.exitCode = failures === 0 ? 0 : 1;

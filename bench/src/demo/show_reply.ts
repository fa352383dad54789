/**
 * Shows one answer of the demo with the time that each stage took.
 *
 * @module
 */

import type { PipelineReply } from "../load/pipeline_call.js";
import { formatTable } from "../report/format_table.js";
import type { DemoRequest } from "./demo_plan.js";

export interface ShownReply {
  readonly request: DemoRequest;
  readonly vmId: string;
  readonly reply: PipelineReply;
  readonly streamedTokens: number;
}

/**
 * @example
 * ```ts
 * console.log(showReply({ request, vmId, reply, streamedTokens: 0 }));
 * ```
 */
export function showReply(shown: ShownReply): string {
  const { request, vmId, reply } = shown;
  const head = `\n${request.title} (${request.pipeline} by ${vmId})`;
  if (reply.kind === "problem") {
    return `${head}\nRefused: ${reply.reason}, not run: ${reply.notRun}, ` +
      reply.detail;
  }
  const rows = reply.stages.map((stage) => [
    stage.stage,
    stage.service,
    stage.backendServerId,
    stage.dataCentre,
    String(stage.attempts),
    stage.durationMs.toFixed(1),
  ]);
  const columns = [
    "stage",
    "service",
    "backend server",
    "data centre",
    "attempts",
    "ms",
  ];
  return [
    head,
    `Output: ${JSON.stringify(reply.output)}`,
    ...(request.stream === true
      ? [`Streamed in ${shown.streamedTokens} pieces`]
      : []),
    formatTable([
      columns,
      ...rows,
      ["total", "", "", "", "", reply.totalMs.toFixed(1)],
    ]),
  ].join("\n");
}

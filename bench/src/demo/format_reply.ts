/**
 * Formats one reply of the demo with the duration of each stage.
 *
 * @module
 */

import type { PipelineReply } from "../load/pipeline_call.js";
import { formatTable } from "../report/format_table.js";
import type { DemoRequest } from "./demo_plan.js";

export interface DemoExchange {
  readonly request: DemoRequest;
  readonly vmId: string;
  readonly reply: PipelineReply;
  readonly streamedTokens: number;
}

/**
 * @example
 * ```ts
 * console.log(formatReply({ request, vmId, reply, streamedTokens: 0 }));
 * ```
 */
export function formatReply(exchange: DemoExchange): string {
  const { request, vmId, reply } = exchange;
  const heading = `\n${request.title} (${request.pipeline} by ${vmId})`;
  if (reply.kind === "problem") {
    return `${heading}\nRefused: ${reply.reason}, not run: ${reply.notRun}, ` +
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
    heading,
    `Output: ${JSON.stringify(reply.output)}`,
    ...(request.stream === true
      ? [`Streamed as ${exchange.streamedTokens} tokens`]
      : []),
    formatTable([
      columns,
      ...rows,
      ["total", "", "", "", "", reply.totalMs.toFixed(1)],
    ]),
  ].join("\n");
}

/**
 * Parses server-sent events.
 *
 * @module
 */

export interface StreamEvent {
  readonly event: string;
  readonly data: unknown;
}

/** Parses events whose data is JSON from chunks of text. */
export async function* parseEventStream(
  chunks: AsyncIterable<unknown>,
): AsyncGenerator<StreamEvent> {
  let buffer = "";
  for await (const chunk of chunks) {
    const blocks = (buffer + String(chunk)).split(/\r?\n\r?\n/);
    buffer = blocks.pop() ?? "";
    for (const block of blocks) {
      const event = parseBlock(block);
      if (event !== undefined) yield event;
    }
  }
}

function parseBlock(block: string): StreamEvent | undefined {
  let event = "message";
  const data: string[] = [];
  for (const line of block.split(/\r?\n/)) {
    const match = /^(?<field>event|data): ?(?<value>.*)$/.exec(line);
    const value = match?.groups?.["value"] ?? "";
    if (match?.groups?.["field"] === "event") event = value;
    if (match?.groups?.["field"] === "data") data.push(value);
  }
  if (data.length === 0) return undefined;
  return { event, data: JSON.parse(data.join("\n")) };
}

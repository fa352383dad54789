/**
 * Server-sent events.
 *
 * @module
 */

export interface StreamEvent {
  readonly event: string;
  readonly data: unknown;
}

/** Parses events whose data is JSON from pieces of text. */
export async function* parseEventStream(
  pieces: AsyncIterable<unknown>,
): AsyncGenerator<StreamEvent> {
  let rest = "";
  for await (const piece of pieces) {
    const blocks = (rest + String(piece)).split(/\r?\n\r?\n/);
    rest = blocks.pop() ?? "";
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

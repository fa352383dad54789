/**
 * Splits a `text/event-stream` into its events.
 *
 * @module
 */

export interface ServerSentEvent {
  readonly event: string;
  readonly data: string;
}

/**
 * Takes text as it arrives and returns the events that it completes.
 *
 * @example
 * ```ts
 * const splitter = new ServerSentEventSplitter();
 * for (const { event, data } of splitter.feed(text)) console.log(event, data);
 * ```
 */
export class ServerSentEventSplitter {
  #rest = "";

  feed(text: string): ServerSentEvent[] {
    const blocks = (this.#rest + text).replaceAll("\r\n", "\n").split("\n\n");
    this.#rest = blocks.pop() ?? "";
    return blocks.filter((block) => block !== "").map(parseBlock);
  }
}

function parseBlock(block: string): ServerSentEvent {
  let event = "message";
  const data: string[] = [];
  for (const line of block.split("\n")) {
    const match = /^(?<field>event|data): ?(?<value>.*)$/.exec(line);
    const value = match?.groups?.["value"] ?? "";
    if (match?.groups?.["field"] === "event") event = value;
    if (match?.groups?.["field"] === "data") data.push(value);
  }
  return { event, data: data.join("\n") };
}

/**
 * Reads server-sent events from a stream of bytes.
 *
 * @module
 */

export interface ServerSentEvent {
  /** "message" if the event has no name. */
  readonly name: string;
  readonly data: string;
}

/**
 * Yields each complete event; an incomplete event at the end is ignored.
 *
 * @example
 * ```ts
 * for await (const event of readServerSentEvents(body)) use(event.data);
 * ```
 */
export async function* readServerSentEvents(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<ServerSentEvent> {
  const decoder = new TextDecoder();
  let buffered = "";
  for await (const chunk of body) {
    buffered += decoder.decode(chunk, { stream: true });
    for (;;) {
      const end = buffered.indexOf("\n\n");
      if (end < 0) break;
      yield parseEvent(buffered.slice(0, end));
      buffered = buffered.slice(end + 2);
    }
  }
}

function parseEvent(block: string): ServerSentEvent {
  let name = "message";
  const data: string[] = [];
  for (const line of block.split("\n")) {
    if (line.startsWith("event:")) name = line.slice("event:".length).trim();
    if (line.startsWith("data:")) {
      data.push(line.slice("data:".length).trimStart());
    }
  }
  return { name, data: data.join("\n") };
}

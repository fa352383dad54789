/**
 * Decides whether a response that the HTTP library reports as complete is whole.
 * The library also reports one when its connection ends in the middle of it.
 *
 * @module
 */

/** How the end of a response's body is determined. */
export type BodyFraming = "byLength" | "byChunks" | "byConnectionEnd";

/** Whether and how a connection is ending while its last events are handled. */
export type ConnectionEnd =
  | "open"
  | "closed"
  /** Closed by a side that hasn't taken all that was written to it. */
  | "closedEarly"
  | "reset";

/** Responses with these statuses end with their head. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Tells how the end of a body is determined.
 *
 * @param rawHeaders Names and values in turn
 * @example
 * ```ts
 * detectFraming({ method: "GET", status: 200, rawHeaders: [] }); // "byConnectionEnd"
 * ```
 */
export function detectFraming(response: {
  readonly method: string;
  readonly status: number;
  readonly rawHeaders: readonly string[];
}): BodyFraming {
  const { method, status, rawHeaders } = response;
  if (method === "HEAD" || BODILESS_STATUSES.has(status)) return "byLength";
  let framing: BodyFraming = "byConnectionEnd";
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]?.toLowerCase();
    if (name === "transfer-encoding") return "byChunks";
    if (name === "content-length") framing = "byLength";
  }
  return framing;
}

/**
 * Whether the response is whole. Where the end of its connection is its only
 * mark, the server has to have closed in order after it took the whole request:
 * one that gives up a request in the middle also closes.
 *
 * @param connectionEnd As it is while the library reports the response
 * @example
 * ```ts
 * isWholeResponse("byChunks", "closed"); // false
 * ```
 */
export function isWholeResponse(
  framing: BodyFraming,
  connectionEnd: ConnectionEnd,
): boolean {
  switch (framing) {
    case "byLength":
      // The library checks the length itself.
      return connectionEnd !== "reset";
    case "byChunks":
      return connectionEnd === "open";
    case "byConnectionEnd":
      return connectionEnd === "closed";
  }
}

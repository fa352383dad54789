/**
 * Reads the daemons' log lines.
 *
 * @module
 */

export interface LogLine {
  /** Unix time by the clock of the VM that wrote the line. */
  readonly atMs: number;
  readonly vm: string;
  readonly event: string;
  /** All pairs of the line, as text. */
  readonly fields: ReadonlyMap<string, string>;
}

const PAIR = /([A-Za-z][\w.]*)=("(?:[^"\\]|\\.)*"|\S*)/g;

/**
 * The line's pairs, or undefined for text that is no log line. What stands
 * before the first pair, such as the prefix of a log collector, is passed over.
 *
 * @example
 * ```ts
 * parseLogLine("time=2026-12-04T02:00:00.000Z event=started vm=vm-a1");
 * ```
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf("time=");
  if (start < 0) return undefined;
  const fields = new Map<string, string>();
  for (const [, key = "", value = ""] of text.slice(start).matchAll(PAIR)) {
    fields.set(key, unquote(value));
  }
  const atMs = Date.parse(fields.get("time") ?? "");
  const event = fields.get("event");
  if (Number.isNaN(atMs) || event === undefined) return undefined;
  return { atMs, vm: fields.get("vm") ?? "", event, fields };
}

function unquote(value: string): string {
  if (!value.startsWith('"')) return value;
  try {
    return String(JSON.parse(value));
  } catch {
    return value;
  }
}

/**
 * Parses the daemons' log lines.
 *
 * @module
 */

export interface LogLine {
  /** Unix time by the clock of the VM that wrote the line. */
  readonly timestampMs: number;
  readonly vm: string;
  readonly event: string;
  /** All key-value pairs of the line, as text. */
  readonly fields: ReadonlyMap<string, string>;
}

const KEY_VALUE_PAIR = /([A-Za-z][\w.]*)=("(?:[^"\\]|\\.)*"|\S*)/g;

/**
 * Parses a line's key-value pairs; returns undefined for text that is not a log
 * line. Text before the first pair, such as a log collector's prefix, is
 * ignored.
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
  for (
    const [, key = "", value = ""] of text.slice(start).matchAll(KEY_VALUE_PAIR)
  ) {
    fields.set(key, unquote(value));
  }
  const timestampMs = Date.parse(fields.get("time") ?? "");
  const event = fields.get("event");
  if (Number.isNaN(timestampMs) || event === undefined) return undefined;
  return { timestampMs, vm: fields.get("vm") ?? "", event, fields };
}

function unquote(value: string): string {
  if (!value.startsWith('"')) return value;
  try {
    return String(JSON.parse(value));
  } catch {
    return value;
  }
}

/**
 * Formats the fields of a log line as key=value pairs.
 *
 * @module
 */

import type { LogFields } from "./log_fields.js";

/** Values may come from outside; ids of this length are logged whole. */
const MAX_VALUE_LENGTH = 1024;

/**
 * Appends the fields that have a value to the line.
 *
 * @example
 * ```ts
 * formatLogLine("event=placed", { server: "s1", after: undefined });
 * // event=placed server=s1
 * ```
 */
export function formatLogLine(linePrefix: string, fields: LogFields): string {
  let line = linePrefix;
  for (const [key, value] of Object.entries(fields)) {
    if (value === undefined) continue;
    line += ` ${key}=${formatValue(value)}`;
  }
  return line;
}

function formatValue(value: string | number | boolean): string {
  const text = shorten(String(value));
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}

/** Says how much is missing. */
function shorten(text: string): string {
  if (text.length <= MAX_VALUE_LENGTH) return text;
  const missing = text.length - MAX_VALUE_LENGTH;
  return `${text.slice(0, MAX_VALUE_LENGTH)}...+${missing}`;
}

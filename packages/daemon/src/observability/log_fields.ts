/**
 * The fields of a log line.
 *
 * @module
 */

export type LogValue = string | number | boolean | undefined;
/** Fields without a value are left out of the line. */
export type LogFields = Readonly<Record<string, LogValue>>;

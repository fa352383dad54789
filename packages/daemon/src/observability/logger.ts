/**
 * Structured logger that writes one line of key=value pairs per event to
 * standard output.
 *
 * @module
 */

import { type ConsolaInstance, createConsola } from "consola";
import { MONOTONIC_CLOCK } from "../clock.js";
import { formatLogLine } from "./format_log_line.js";
import type { LogFields } from "./log_fields.js";
import { LogSink, openNonBlockingStdout } from "./log_sink.js";

export const LOG_LEVELS = ["error", "warn", "info", "debug"] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

export interface Logger {
  error(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  debug(event: string, fields?: LogFields): void;
}

/** Shared by all loggers of the process, as they write to the same stdout. */
let stdoutSink: LogSink | undefined;

function makeStdoutSink(): LogSink {
  return new LogSink({
    stream: openNonBlockingStdout(),
    nowMs: () => MONOTONIC_CLOCK.nowMs(),
    formatDroppedNotice: (count) =>
      `${formatLinePrefix("warn", "logLinesDropped")} count=${count}`,
  });
}

/** Writes what was logged in this turn of the event loop, before an exit. */
export function flushLogs(): void {
  stdoutSink?.flush();
}

/**
 * Creates a logger that adds the given fields to every line.
 *
 * @example
 * ```ts
 * const logger = createLogger("info", { vm: "vm-a1" });
 * logger.info("configurationAdopted", { generation: 7 });
 * // time=… level=info event=configurationAdopted vm=vm-a1 generation=7
 * ```
 */
export function createLogger(level: LogLevel, commonFields: LogFields): Logger {
  stdoutSink ??= makeStdoutSink();
  const sink = stdoutSink;
  const consola = createConsola({
    level: CONSOLA_LEVELS[level],
    // Disables consola's merging of repeated lines; the sink limits the volume.
    throttle: 0,
    reporters: [{
      log: (entry) => {
        sink.write(entry.args.join(" "));
      },
    }],
  });
  return {
    error: (event, fields) => {
      write({
        consola,
        level: "error",
        event,
        fields: { ...commonFields, ...fields },
      });
    },
    warn: (event, fields) => {
      write({
        consola,
        level: "warn",
        event,
        fields: { ...commonFields, ...fields },
      });
    },
    info: (event, fields) => {
      write({
        consola,
        level: "info",
        event,
        fields: { ...commonFields, ...fields },
      });
    },
    debug: (event, fields) => {
      write({
        consola,
        level: "debug",
        event,
        fields: { ...commonFields, ...fields },
      });
    },
  };
}

interface LogEntry {
  readonly consola: ConsolaInstance;
  readonly level: LogLevel;
  readonly event: string;
  readonly fields: LogFields;
}

function write(entry: LogEntry): void {
  if (CONSOLA_LEVELS[entry.level] > entry.consola.level) return;
  const linePrefix = formatLinePrefix(entry.level, entry.event);
  entry.consola[entry.level](formatLogLine(linePrefix, entry.fields));
}

function formatLinePrefix(level: LogLevel, event: string): string {
  return `time=${new Date().toISOString()} level=${level} event=${event}`;
}

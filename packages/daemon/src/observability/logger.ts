/**
 * Logs: one line of key=value pairs for each event, to the standard output.
 *
 * @module
 */

import { type ConsolaInstance, createConsola } from "consola";
import { MONOTONIC_CLOCK } from "../clock.js";
import { LogSink, openStandardOutput } from "./log_sink.js";

export const LOG_LEVELS = ["error", "warn", "info", "debug"] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

export type LogValue = string | number | boolean | undefined;
export type LogFields = Readonly<Record<string, LogValue>>;

export interface Logger {
  error(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  debug(event: string, fields?: LogFields): void;
}

/** One for the process, as all loggers share its standard output. */
let standardSink: LogSink | undefined;

function makeStandardSink(): LogSink {
  return new LogSink({
    stream: openStandardOutput(),
    nowMs: () => MONOTONIC_CLOCK.nowMs(),
    formatDropped: (count) =>
      `${formatHead("warn", "logLinesDropped")} count=${count}`,
  });
}

/**
 * Makes a logger whose lines all carry the given fields.
 *
 * @example
 * ```ts
 * const logger = createLogger("info", { vm: "vm-a1" });
 * logger.info("configurationAdopted", { generation: 7 });
 * // time=… level=info event=configurationAdopted vm=vm-a1 generation=7
 * ```
 */
export function createLogger(level: LogLevel, common: LogFields): Logger {
  standardSink ??= makeStandardSink();
  const sink = standardSink;
  const consola = createConsola({
    level: CONSOLA_LEVELS[level],
    // The sink bounds the volume, and no line is merged into another.
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
        fields: { ...common, ...fields },
      });
    },
    warn: (event, fields) => {
      write({
        consola,
        level: "warn",
        event,
        fields: { ...common, ...fields },
      });
    },
    info: (event, fields) => {
      write({
        consola,
        level: "info",
        event,
        fields: { ...common, ...fields },
      });
    },
    debug: (event, fields) => {
      write({
        consola,
        level: "debug",
        event,
        fields: { ...common, ...fields },
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
  const head = formatHead(entry.level, entry.event);
  entry.consola[entry.level](formatFields(head, entry.fields));
}

function formatHead(level: LogLevel, event: string): string {
  return `time=${new Date().toISOString()} level=${level} event=${event}`;
}

function formatFields(head: string, fields: LogFields): string {
  let line = head;
  for (const [key, value] of Object.entries(fields)) {
    if (value === undefined) continue;
    line += ` ${key}=${formatValue(value)}`;
  }
  return line;
}

function formatValue(value: string | number | boolean): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}

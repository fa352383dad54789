/**
 * Counters and gauges of the daemon, exported in the Prometheus text format.
 *
 * @module
 */

import type { ProblemReason } from "@sassafrasstage/protocol/problems";
import { Counter, Gauge, Registry } from "prom-client";

const METRIC_NAME_PREFIX = "sassafrasstage_";

/** Why a stage was retried. */
export type RetryReason =
  | "connectFailed"
  | "refusedByServer"
  | "failed"
  | "timedOut"
  | "streamBroken"
  | "streamSilent"
  | "foreignResult"
  | "ownerSilent"
  | "hedge";

/** Why a result, a frame or a message was discarded. */
export type DropReason =
  | "lateResult"
  | "foreignResult"
  | "doubledResult"
  | "badFrame"
  | "wrongSharedKey"
  | "unknownPermit"
  | "staleGeneration";

/** The metrics registry of the daemon; one instance per process. */
export class Metrics {
  readonly registry = new Registry();
  readonly #refusals = this.#counter("refusals_total", "Refused requests", [
    "reason",
  ]);
  readonly #retries = this.#counter(
    "retries_total",
    "Repeated stage attempts",
    [
      "service",
      "reason",
    ],
  );
  readonly #drops = this.#counter("drops_total", "Results and frames dropped", [
    "reason",
  ]);
  readonly #answers = this.#counter("answers_total", "Whole answers given", [
    "pipeline",
    "withinDeadline",
  ]);
  readonly #events = this.#counter("events_total", "Other counted events", [
    "event",
  ]);
  readonly #readers = new Map<string, () => number>();
  readonly #gauges = new Gauge({
    name: `${METRIC_NAME_PREFIX}value`,
    help: "Present values",
    labelNames: ["name"],
    registers: [this.registry],
    collect: () => {
      for (const [name, read] of this.#readers) this.setGauge(name, read());
    },
  });

  countRefusal(reason: ProblemReason): void {
    this.#refusals.inc({ reason });
  }

  countRetry(service: string, reason: RetryReason): void {
    this.#retries.inc({ service, reason });
  }

  countDrop(reason: DropReason): void {
    this.#drops.inc({ reason });
  }

  countResponse(pipeline: string, isWithinDeadline: boolean): void {
    this.#answers.inc({ pipeline, withinDeadline: String(isWithinDeadline) });
  }

  /**
   * Counts an event that has no labels of its own.
   *
   * @example
   * ```ts
   * metrics.countEvent("platformCall");
   * ```
   */
  countEvent(event: string, count = 1): void {
    this.#events.inc({ event }, count);
  }

  setGauge(name: string, value: number): void {
    this.#gauges.set({ name }, value);
  }

  /**
   * Registers a gauge whose value is read on each metrics scrape.
   *
   * @example
   * ```ts
   * metrics.registerGauge("requestsInFlight", () => forwarder.inFlight);
   * ```
   */
  registerGauge(name: string, read: () => number): void {
    this.#readers.set(name, read);
  }

  #counter(name: string, help: string, labelNames: string[]): Counter {
    return new Counter({
      name: METRIC_NAME_PREFIX + name,
      help,
      labelNames,
      registers: [this.registry],
    });
  }
}

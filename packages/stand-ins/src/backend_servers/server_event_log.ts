/**
 * What a stand-in backend server did and showed to its callers, for the trace
 * of an overload during a cold start.
 *
 * @module
 */

export type ServerEventKind =
  | "turnedCold"
  | "turnedWarm"
  | "admitted"
  | "refused"
  | "overloaded"
  | "firstToken"
  | "completed"
  | "failed"
  | "canceled";

export interface ServerEvent {
  readonly kind: ServerEventKind;
  /** Wall-clock time. */
  readonly atMs: number;
  /** The call that the event concerns. */
  readonly requestId?: string;
  /** Calls in flight after the event. */
  readonly inFlight: number;
}

const MAX_EVENTS = 2000;

/** A bounded list of events that drops the oldest ones first. */
export class ServerEventLog {
  readonly #events: ServerEvent[] = [];

  add(event: ServerEvent): void {
    this.#events.push(event);
    if (this.#events.length > MAX_EVENTS) this.#events.shift();
  }

  since(atMs: number): ServerEvent[] {
    return this.#events.filter((event) => event.atMs >= atMs);
  }
}

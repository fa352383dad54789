/**
 * A client's request on a pass-through route, and the way its answer goes.
 *
 * @module
 */

import type { AttemptId } from "@sassafrasstage/protocol/ids";

/** Header names and values in the order in which they came. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

/** The prompt that a request for a model engine carries. */
export interface PromptShape {
  readonly inputTokens: number;
  readonly maxOutputTokens: number;
  /** Parts in order; the last one is the request's or its session's own. */
  readonly parts: readonly PromptPart[];
}

export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a client asked for, decoded. */
export interface RoutedRequest {
  readonly attemptId: AttemptId;
  readonly host: string;
  readonly method: string;
  /** Path and query as they came. */
  readonly path: string;
  /** Headers that are passed on as they came. */
  readonly headers: HeaderList;
  readonly body: Buffer;
  readonly key: string | undefined;
  /** How long the client waits, from its sending. */
  readonly deadlineInMs: number | undefined;
  readonly prompt: PromptShape | undefined;
  /** The client has all events up to this one. */
  readonly resumeAfter: string | undefined;
  /** Items for each stage of the route. */
  readonly stageItems: readonly number[] | undefined;
  readonly inputKey: string | undefined;
  readonly receivedAtMs: number;
}

export type RefusalReason =
  | "notReady"
  | "leaving"
  | "noRoute"
  | "unknownKey"
  | "badRequest"
  | "overloaded"
  | "outOfTime"
  | "noServer"
  | "serversFull";

/** The head of an answer as the client gets it. */
export interface ClientAnswerHead {
  readonly status: number;
  readonly headers: HeaderList;
  /** The client is told no more of the body's end than the server told. */
  readonly endsWithConnection: boolean;
}

/** A final answer of the system's own. */
export type OwnAnswer =
  /** It has not run and never will. */
  | {
    readonly kind: "refused";
    readonly reason: RefusalReason;
    readonly retryAfterMs: number | undefined;
    readonly detail: string;
  }
  /** What became of it is not known. */
  | { readonly kind: "failed"; readonly detail: string }
  /** The route's time-out passed without an answer. */
  | { readonly kind: "timedOut" };

/** The connection on which a request came. */
export interface ClientChannel {
  readonly isClosed: boolean;
  onClosed(listener: () => void): void;
  writeHead(head: ClientAnswerHead): void;
  write(chunk: Buffer): void;
  end(): void;
  /** Ends an answer that can't be completed, so that it looks broken. */
  abort(): void;
  answer(own: OwnAnswer): void;
}

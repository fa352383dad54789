/**
 * Asks once more, right before the first byte of a call leaves, whether the
 * call may start. Between the decision to call and the first byte a connection
 * has to be made, and the process may be paused.
 *
 * @module
 */

import { DecoratorHandler, type Dispatcher } from "undici";

/** The call was stopped before its first byte left. */
export class CallNotStartedError extends Error {
  override readonly name = "CallNotStartedError";
}

/** Undici hands `onConnect` the request just before it writes it. */
class GatedHandler extends DecoratorHandler {
  readonly #handler: Dispatcher.DispatchHandlers;
  readonly #mayStart: () => boolean;

  constructor(
    handler: Dispatcher.DispatchHandlers,
    mayStart: () => boolean,
  ) {
    super(handler);
    this.#handler = handler;
    this.#mayStart = mayStart;
  }

  onConnect(abort: (error?: Error) => void): void {
    if (this.#mayStart()) this.#handler.onConnect?.(abort);
    else abort(new CallNotStartedError("The permit is no longer valid"));
  }
}

/**
 * A dispatcher whose requests ask `mayStart` first.
 *
 * @example
 * ```ts
 * const gated = withStartGate(agent, () => isSpendable());
 * ```
 */
export function withStartGate(
  dispatcher: Dispatcher,
  mayStart: () => boolean,
): Dispatcher {
  return dispatcher.compose((dispatch) => (options, handler) =>
    dispatch(options, new GatedHandler(handler, mayStart))
  );
}

/**
 * Checks again whether a call may start, right before its first byte is sent.
 * Since the decision to call, time may have passed while a connection was
 * established or the process was paused.
 *
 * @module
 */

import { DecoratorHandler, type Dispatcher } from "undici";

/** The call was stopped before its first byte was sent. */
export class CallNotStartedError extends Error {
  override readonly name = "CallNotStartedError";
}

/** Undici calls `onConnect` just before it writes the request. */
class StartCheckHandler extends DecoratorHandler {
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
 * Returns a dispatcher that aborts a request if `mayStart` returns false right
 * before the request is written.
 *
 * @example
 * ```ts
 * const checked = withStartCheck(agent, () => isPermitValid());
 * ```
 */
export function withStartCheck(
  dispatcher: Dispatcher,
  mayStart: () => boolean,
): Dispatcher {
  return dispatcher.compose((dispatch) => (options, handler) =>
    dispatch(options, new StartCheckHandler(handler, mayStart))
  );
}

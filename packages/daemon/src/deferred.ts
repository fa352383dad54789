/**
 * A promise that is resolved from outside its executor.
 *
 * @module
 */

export interface Deferred<Value> {
  readonly promise: Promise<Value>;
  /** Only the first call has an effect. */
  readonly resolve: (value: Value) => void;
}

/**
 * Creates a promise and the function that resolves it.
 *
 * @example
 * ```ts
 * const answer = makeDeferred<string>();
 * answer.resolve("done");
 * await answer.promise;
 * ```
 */
export function makeDeferred<Value>(): Deferred<Value> {
  const callbacks: { resolve?: (value: Value) => void } = {};
  const promise = new Promise<Value>((resolve) => {
    callbacks.resolve = resolve;
  });
  return {
    promise,
    resolve: (value) => {
      callbacks.resolve?.(value);
    },
  };
}

/**
 * A promise that is settled from outside.
 *
 * @module
 */

export interface Deferred<Value> {
  readonly promise: Promise<Value>;
  /** Only the first call counts. */
  readonly resolve: (value: Value) => void;
}

/**
 * Makes a promise and the function that settles it.
 *
 * @example
 * ```ts
 * const answer = makeDeferred<string>();
 * answer.resolve("done");
 * await answer.promise;
 * ```
 */
export function makeDeferred<Value>(): Deferred<Value> {
  const box: { resolve?: (value: Value) => void } = {};
  const promise = new Promise<Value>((resolve) => {
    box.resolve = resolve;
  });
  return {
    promise,
    resolve: (value) => {
      box.resolve?.(value);
    },
  };
}

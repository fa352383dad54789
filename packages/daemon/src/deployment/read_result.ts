/**
 * The result of reading an object of the platform.
 *
 * @module
 */

/** The value of an object, or the reason why it can't be read. */
export type ReadResult<Value> =
  | { readonly kind: "value"; readonly value: Value }
  | { readonly kind: "unreadable"; readonly detail: string };

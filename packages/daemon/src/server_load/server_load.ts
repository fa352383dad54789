/**
 * What a backend server states about its load in a response.
 *
 * @module
 */

export interface ServerLoad {
  /** Requests in progress. */
  readonly running: number;
  /** Requests that wait for a slot. */
  readonly waiting: number;
  readonly slots: number;
  /**
   * How long work takes on the server's machine now, as a multiple of what is
   * usual there; undefined if the server doesn't state it.
   */
  readonly slowdown?: number | undefined;
}

export type LoadStatement =
  | { readonly kind: "stated"; readonly load: ServerLoad }
  | { readonly kind: "none" }
  | { readonly kind: "invalid"; readonly text: string };

export const NO_LOAD_STATEMENT: LoadStatement = { kind: "none" };

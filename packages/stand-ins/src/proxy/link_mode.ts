/**
 * How a fault-injecting link handles the bytes that are sent over it.
 *
 * @module
 */

export type LinkMode =
  | { readonly kind: "pass" }
  /** Open and new connections are reset. */
  | { readonly kind: "cut" }
  /** Connections are accepted, but nothing is forwarded until the mode ends. */
  | { readonly kind: "freeze" }
  | { readonly kind: "delay"; readonly delayMs: number }
  /** The bytes of one direction are dropped. */
  | { readonly kind: "halfOpen"; readonly dropped: "toTarget" | "toSource" }
  /** Each connection is reset after this many bytes, both directions together. */
  | { readonly kind: "resetAfter"; readonly bytes: number };

export const PASS: LinkMode = { kind: "pass" };

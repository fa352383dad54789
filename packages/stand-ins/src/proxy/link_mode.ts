/**
 * What a fault-injecting link does with the bytes that cross it.
 *
 * @module
 */

export type LinkMode =
  | { readonly kind: "pass" }
  /** Connections are reset, those open and those to come. */
  | { readonly kind: "cut" }
  /** Connections are taken and held; nothing is forwarded until it passes. */
  | { readonly kind: "freeze" }
  | { readonly kind: "delay"; readonly delayMs: number }
  /** One direction is thrown away. */
  | { readonly kind: "halfOpen"; readonly dropped: "toTarget" | "toSource" }
  /** Each connection is reset after so many bytes in either direction. */
  | { readonly kind: "resetAfter"; readonly bytes: number };

export const PASS: LinkMode = { kind: "pass" };

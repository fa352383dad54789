/**
 * What a backend server says about itself in its responses.
 *
 * @module
 */

export interface ServerNotice {
  /** The server's process will end. */
  readonly isLeaving: boolean;
  readonly pause: PauseRequest;
}

/** Whether the server wants no further requests from this VM for some time. */
export type PauseRequest =
  | { readonly kind: "none" }
  | { readonly kind: "requested"; readonly durationMs: number }
  | { readonly kind: "invalid"; readonly text: string };

export const NO_NOTICE: ServerNotice = {
  isLeaving: false,
  pause: { kind: "none" },
};

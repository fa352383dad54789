/**
 * What a response of a backend server says about the rate of requests that the
 * server accepts.
 *
 * @module
 */

export type RateLimitStatement =
  /** The limit holds for the requests of all VMs together. */
  | { readonly kind: "limited"; readonly requestsPerSecond: number }
  | { readonly kind: "unlimited" }
  /** Neither sets nor ends a limit, such as a response of another server. */
  | { readonly kind: "unknown" };

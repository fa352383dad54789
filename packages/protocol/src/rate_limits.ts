/**
 * Rate limits of backend servers as exchanged between daemons.
 *
 * @module
 */

/** What a backend server stated last about the rate that it accepts. */
export interface StatedRateLimit {
  /** From all VMs together; undefined if there is no longer a limit. */
  readonly requestsPerSecond: number | undefined;
  /** Time since the change was observed, in milliseconds. */
  readonly ageMs: number;
}

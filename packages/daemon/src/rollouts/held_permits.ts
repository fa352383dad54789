/**
 * Chooses which of a VM's permits a request uses.
 *
 * @module
 */

export interface HeldPermit {
  readonly route: string;
  readonly receivedAtMs: number;
}

/** Time after its receipt for which a permit may be used. */
export const PERMIT_TTL_MS = 1500;
/**
 * Time for which a permit is kept for its route. A small VM receives a request
 * of each of three routes in about three seconds, so that six in ten permits
 * would expire unused; after this time they are used for any route. The bound
 * on exposure counts permits, whatever their routes.
 */
const KEPT_FOR_ROUTE_MS = 400;

/**
 * Returns the permit for a request of the route, the oldest first.
 *
 * @example
 * ```ts
 * const permit = choosePermit(permits, route, nowMs);
 * ```
 */
export function choosePermit<Permit extends HeldPermit>(
  permits: readonly Permit[],
  route: string,
  nowMs: number,
): Permit | undefined {
  const usable = permits.filter(({ receivedAtMs }) =>
    nowMs - receivedAtMs < PERMIT_TTL_MS
  ).sort((a, b) => a.receivedAtMs - b.receivedAtMs);
  return usable.find((permit) => permit.route === route) ??
    usable.find(({ receivedAtMs }) =>
      nowMs - receivedAtMs >= KEPT_FOR_ROUTE_MS
    );
}

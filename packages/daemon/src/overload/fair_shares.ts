/**
 * Tracks how often the requests of each account, kind and size are served, and
 * prefers as much work of those below their guaranteed share as they lack.
 *
 * Load pattern: a burst in which one kind, account or size is worth less for
 * the work it needs than all others, and would not be served at all.
 *
 * @module
 */

/** An account or a kind is served at least so often, relative to all requests. */
const MIN_RELATIVE_SHARE = 0.25;
/** Large requests are served at least so often, relative to their kind. */
const MIN_LARGE_SHARE = 0.5;
/**
 * Shares are corrected from this multiple of a guaranteed share down, as
 * corrections take effect with a delay.
 */
const GUARANTEE_MARGIN = 1.2;
/** From this size on, relative to the mean of its kind, a request is large. */
const LARGE_RELATIVE_SIZE = 1.6;
/** A kind may be served less often by this than a less urgent one. */
const URGENCY_TOLERANCE = 0.02;
/** Factor on the cost of deferring preferred work; exceeds three priorities. */
const PREFERENCE_FACTOR = 40;
/** Shares of groups are known from this number of outcomes on. */
const MIN_OUTCOMES = 4;
const WINDOW_MS = 10_000;
const SLICE_MS = 1000;

/** What a request belongs to; undefined parts aren't known. */
export interface ShareGroups {
  readonly account: string | undefined;
  readonly kind: string | undefined;
  readonly priority: number;
  readonly relativeSize: number;
}

interface Tally {
  served: number;
  ended: number;
}

/** Outcomes of the requests of each group within one slice of the window. */
interface Slice {
  readonly startedAtMs: number;
  readonly tallies: Map<string, Tally>;
}

/** Work that is preferred until it ends. */
interface Preference {
  readonly keys: readonly string[];
  readonly lapsesAtMs: number;
}

/**
 * One per place where work waits. Only as much work of a group is preferred as
 * the group lacks: with a factor on all of its work, the group would exceed its
 * guaranteed share by far before its outcomes show.
 */
export class FairShares {
  #slices: Slice[] = [];
  readonly #totals = new Map<string, Tally>();
  /** Priority of each kind with outcomes in the window. */
  readonly #kinds = new Map<string, number>();
  readonly #preferences = new Map<string, Preference>();
  readonly #preferredCounts = new Map<string, number>();

  /**
   * Records the outcome of the work with the given id.
   *
   * @param outcome `wasServed` if the response came before the deadline.
   *   `isReturn` if the request was refused before: it counts once
   */
  record(
    id: string,
    groups: ShareGroups,
    outcome: {
      readonly wasServed: boolean;
      readonly isReturn: boolean;
      readonly nowMs: number;
    },
  ): void {
    const { wasServed, isReturn, nowMs } = outcome;
    this.#dropExpired(nowMs);
    this.#removePreference(id);
    let slice = this.#slices.at(-1);
    if (slice === undefined || nowMs >= slice.startedAtMs + SLICE_MS) {
      slice = { startedAtMs: nowMs, tallies: new Map() };
      this.#slices.push(slice);
    }
    if (groups.kind !== undefined) {
      this.#kinds.set(groups.kind, groups.priority);
    }
    const change = { served: Number(wasServed), ended: Number(!isReturn) };
    for (const key of keysOf(groups)) {
      addTo(slice.tallies, key, change);
      addTo(this.#totals, key, change);
    }
  }

  /**
   * Factor on the cost of deferring the work; above 1 if one of its groups is
   * below its guaranteed share and has not enough preferred work already.
   *
   * @param canEnd Whether the work would end well before its deadline
   */
  precedence(
    id: string,
    groups: ShareGroups,
    { canEnd, nowMs }: { readonly canEnd: boolean; readonly nowMs: number },
  ): number {
    if (this.#preferences.has(id)) return PREFERENCE_FACTOR;
    if (!canEnd) return 1;
    this.#dropExpired(nowMs);
    const overall = this.#shareOf(ALL_KEY);
    if (overall === undefined || overall >= 1) return 1;
    const lacking = keysOf(groups).filter((key) =>
      this.#missingCount(key, this.#guaranteedShare(key, groups, overall)) >=
        1 + (this.#preferredCounts.get(key) ?? 0)
    );
    if (lacking.length === 0) return 1;
    this.#addPreference(id, {
      keys: keysOf(groups),
      lapsesAtMs: nowMs + WINDOW_MS,
    });
    return PREFERENCE_FACTOR;
  }

  /** Number of groups with outcomes in the window. */
  get groupCount(): number {
    return this.#totals.size;
  }

  #guaranteedShare(key: string, groups: ShareGroups, overall: number): number {
    const { kind } = groups;
    if (key === ALL_KEY) return 0;
    const relative = MIN_RELATIVE_SHARE * GUARANTEE_MARGIN * overall;
    if (kind === undefined) return relative;
    if (key === kindKey(kind)) {
      return Math.max(relative, this.#lessUrgentShare(kind));
    }
    if (key !== largeKey(kind)) return relative;
    const kindShare = this.#shareOf(kindKey(kind)) ?? overall;
    return MIN_LARGE_SHARE * GUARANTEE_MARGIN * kindShare;
  }

  /** Number of requests that the group lacks in the window. */
  #missingCount(key: string, guaranteed: number): number {
    const tally = this.#totals.get(key);
    if (tally === undefined || tally.ended < MIN_OUTCOMES) return 0;
    return guaranteed * tally.ended - tally.served;
  }

  /** Largest share of a less urgent kind, less the tolerance. */
  #lessUrgentShare(kind: string): number {
    const ownPriority = this.#kinds.get(kind) ?? 0;
    let share = 0;
    for (const [other, priority] of this.#kinds) {
      if (priority <= ownPriority) continue;
      share = Math.max(share, this.#shareOf(kindKey(other)) ?? 0);
    }
    return Math.max(0, share - URGENCY_TOLERANCE);
  }

  #shareOf(key: string): number | undefined {
    const tally = this.#totals.get(key);
    if (tally === undefined || tally.ended < MIN_OUTCOMES) return undefined;
    return Math.min(1, tally.served / tally.ended);
  }

  #addPreference(id: string, preference: Preference): void {
    this.#preferences.set(id, preference);
    for (const key of preference.keys) {
      const count = this.#preferredCounts.get(key) ?? 0;
      this.#preferredCounts.set(key, count + 1);
    }
  }

  #removePreference(id: string): void {
    const preference = this.#preferences.get(id);
    if (preference === undefined) return;
    this.#preferences.delete(id);
    for (const key of preference.keys) {
      const count = (this.#preferredCounts.get(key) ?? 0) - 1;
      if (count <= 0) this.#preferredCounts.delete(key);
      else this.#preferredCounts.set(key, count);
    }
  }

  #dropExpired(nowMs: number): void {
    const [first] = this.#slices;
    if (first === undefined || first.startedAtMs > nowMs - WINDOW_MS) return;
    const expired = this.#slices
      .filter(({ startedAtMs }) => startedAtMs <= nowMs - WINDOW_MS);
    this.#slices = this.#slices.slice(expired.length);
    for (const { tallies } of expired) {
      for (const [key, { served, ended }] of tallies) {
        addTo(this.#totals, key, { served: -served, ended: -ended });
        const total = this.#totals.get(key);
        if (total?.ended === 0 && total.served === 0) this.#totals.delete(key);
      }
    }
    for (const kind of this.#kinds.keys()) {
      if (!this.#totals.has(kindKey(kind))) this.#kinds.delete(kind);
    }
    // Canceled work has no outcome.
    for (const [id, { lapsesAtMs }] of this.#preferences) {
      if (lapsesAtMs <= nowMs) this.#removePreference(id);
    }
  }
}

const ALL_KEY = "all";

function accountKey(account: string): string {
  return `account:${account}`;
}

function kindKey(kind: string): string {
  return `kind:${kind}`;
}

function largeKey(kind: string): string {
  return `large:${kind}`;
}

function keysOf({ account, kind, relativeSize }: ShareGroups): string[] {
  const keys = [ALL_KEY];
  if (account !== undefined) keys.push(accountKey(account));
  if (kind === undefined) return keys;
  keys.push(kindKey(kind));
  if (relativeSize >= LARGE_RELATIVE_SIZE) keys.push(largeKey(kind));
  return keys;
}

function addTo(tallies: Map<string, Tally>, key: string, change: Tally): void {
  const tally = tallies.get(key);
  if (tally === undefined) tallies.set(key, { ...change });
  else {
    tally.served += change.served;
    tally.ended += change.ended;
  }
}

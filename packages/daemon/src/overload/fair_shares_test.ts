import { expect } from "earl";
import { describe, it } from "node:test";
import { FairShares, type ShareGroups } from "./fair_shares.js";

const SERVED = { wasServed: true, isReturn: false };
const REFUSED = { wasServed: false, isReturn: false };
const NEEDY = makeGroups({ account: "small", kind: "label", priority: 2 });

function makeGroups(groups: Partial<ShareGroups> = {}): ShareGroups {
  return {
    account: "large",
    kind: "note",
    priority: 0,
    relativeSize: 1,
    ...groups,
  };
}

/** Half of the notes and none of the needy group's requests are served. */
function makeShares(): FairShares {
  const shares = new FairShares();
  for (let n = 0; n < 40; n++) {
    const outcome = n % 2 === 0 ? SERVED : REFUSED;
    shares.record(`note-${n}`, makeGroups(), { ...outcome, nowMs: 0 });
    shares.record(`label-${n}`, NEEDY, { ...REFUSED, nowMs: 0 });
  }
  return shares;
}

function countPreferred(
  shares: FairShares,
  groups: ShareGroups,
  nowMs: number,
): number {
  const factors = Array.from(
    { length: 40 },
    (_, n) =>
      shares.precedence(`${String(groups.kind)}-new-${n}`, groups, {
        canEnd: true,
        nowMs,
      }),
  );
  return factors.filter((factor) => factor > 1).length;
}

describe("FairShares", () => {
  it("prefers a starved group, but no more of it than it lacks", () => {
    // All are served a quarter of the time: 0.25 * 0.25 * 1.2 * 40 requests.
    expect(countPreferred(makeShares(), NEEDY, 100)).toEqual(3);
    expect(countPreferred(makeShares(), makeGroups(), 100)).toEqual(0);
  });

  it("prefers nothing that can't end in time", () => {
    const context = { canEnd: false, nowMs: 100 };
    expect(makeShares().precedence("label-x", NEEDY, context)).toEqual(1);
  });

  it("prefers nothing in calm, and nothing after the outcomes expire", () => {
    const calm = new FairShares();
    for (let n = 0; n < 20; n++) {
      calm.record(`note-${n}`, makeGroups(), { ...SERVED, nowMs: 0 });
    }
    expect(countPreferred(calm, NEEDY, 100)).toEqual(0);
    const shares = makeShares();
    expect(countPreferred(shares, NEEDY, 20_000)).toEqual(0);
    expect(shares.groupCount).toEqual(0);
  });

  it("prefers a kind that is served less often than a less urgent one", () => {
    const shares = new FairShares();
    const label = makeGroups({
      account: undefined,
      kind: "label",
      priority: 2,
    });
    const note = makeGroups({ account: undefined });
    for (let n = 0; n < 20; n++) {
      const outcome = n < 14 ? SERVED : REFUSED;
      shares.record(`label-${n}`, label, { ...SERVED, nowMs: 0 });
      shares.record(`note-${n}`, note, { ...outcome, nowMs: 0 });
    }
    expect(countPreferred(shares, note, 100)).toEqual(5);
    expect(countPreferred(shares, label, 100)).toEqual(0);
  });

  it("counts a request that comes back several times once", () => {
    const shares = makeShares();
    for (let n = 0; n < 200; n++) {
      shares.record(`label-${n % 40}`, NEEDY, {
        ...REFUSED,
        isReturn: true,
        nowMs: 50,
      });
    }
    expect(countPreferred(shares, NEEDY, 100)).toEqual(3);
  });
});

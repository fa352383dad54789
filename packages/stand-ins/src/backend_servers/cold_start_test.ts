import { expect } from "earl";
import { describe, it } from "node:test";
import {
  ColdStart,
  DEFAULT_COLD_START,
  REACTION_TIME_MS,
} from "./cold_start.js";

describe("ColdStart", () => {
  it("reports an overload above the cold limit and becomes warm after enough completions", () => {
    const coldStart = new ColdStart({
      ...DEFAULT_COLD_START,
      isColdAtStart: true,
      coldLimit: 1,
      warmAfterCompletions: 2,
    });
    expect(coldStart.tryAdmit(0).kind).toEqual("admitted");
    expect(coldStart.tryAdmit(1).kind).toEqual("overload");
    expect(coldStart.record().coldOverloads).toEqual(1);
    coldStart.release(false);
    for (let run = 0; run < 4; run++) {
      expect(coldStart.tryAdmit(run).kind).toEqual("admitted");
      coldStart.release(true);
    }
    expect(coldStart.isCold).toEqual(false);
  });

  it("counts arrivals separately until the caller could react to an unannounced cold start", () => {
    const coldStart = new ColdStart({ ...DEFAULT_COLD_START, coldLimit: 1 });
    coldStart.tryAdmit(0);
    coldStart.tryAdmit(0);
    coldStart.turnCold(0);
    expect(coldStart.record().coldOverloads).toEqual(0);
    expect(coldStart.tryAdmit(1000).kind).toEqual("refused");
    expect(coldStart.tryAdmit(1000 + REACTION_TIME_MS - 1).kind).toEqual(
      "refused",
    );
    expect(coldStart.tryAdmit(1000 + REACTION_TIME_MS).kind).toEqual(
      "overload",
    );
    expect(coldStart.record().suddenColdArrivals).toEqual(2);
    expect(coldStart.record().coldOverloads).toEqual(1);
  });

  describe("after an unannounced cold start", () => {
    const { coldLimit, warmAfterCompletions } = DEFAULT_COLD_START;
    const TURNED_COLD_AT_MS = 100;
    const EARLIER_CALL = { arrivedAtMs: 94, isCompleted: true };

    function createSuddenlyCold(completions: number): ColdStart {
      const coldStart = new ColdStart({
        ...DEFAULT_COLD_START,
        isColdAtStart: true,
      });
      for (let n = 0; n < completions; n++) {
        coldStart.tryAdmit(0);
        coldStart.release(true);
      }
      coldStart.turnCold(TURNED_COLD_AT_MS);
      for (let n = 0; n < coldLimit; n++) coldStart.tryAdmit(TURNED_COLD_AT_MS);
      return coldStart;
    }

    /** The admission of a call after the time to react to a sign. */
    function admitAfterReactionTime(coldStart: ColdStart): string {
      return coldStart.tryAdmit(TURNED_COLD_AT_MS + REACTION_TIME_MS).kind;
    }

    it("reports an overload after a slower token was sent", () => {
      const coldStart = createSuddenlyCold(warmAfterCompletions);
      coldStart.recordSign("token", TURNED_COLD_AT_MS);
      expect(admitAfterReactionTime(coldStart)).toEqual("overload");
    });

    it("doesn't count the completion of an earlier call as a sign", () => {
      const coldStart = createSuddenlyCold(warmAfterCompletions);
      coldStart.recordCallEnd(EARLIER_CALL, TURNED_COLD_AT_MS);
      expect(admitAfterReactionTime(coldStart)).toEqual("refused");
    });

    const REVEALING_CALLS = [
      { ...EARLIER_CALL, isCompleted: false },
      { ...EARLIER_CALL, arrivedAtMs: TURNED_COLD_AT_MS + 1 },
    ];
    for (const call of REVEALING_CALLS) {
      it(`reports an overload after the end of ${JSON.stringify(call)}`, () => {
        const coldStart = createSuddenlyCold(warmAfterCompletions);
        coldStart.recordCallEnd(call, TURNED_COLD_AT_MS);
        expect(admitAfterReactionTime(coldStart)).toEqual("overload");
      });
    }

    it("counts only a refusal as a sign when an unfinished warm-up restarts", () => {
      const coldStart = createSuddenlyCold(warmAfterCompletions - 1);
      // Not a sign: the server was cold, and tokens are as slow as before.
      coldStart.recordSign("token", TURNED_COLD_AT_MS);
      expect(admitAfterReactionTime(coldStart)).toEqual("refused");
      expect(coldStart.tryAdmit(TURNED_COLD_AT_MS + 2 * REACTION_TIME_MS).kind)
        .toEqual("overload");
    });
  });
});

import { toId } from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { warmShareOf } from "./grant_rights.js";

describe("warmShareOf", () => {
  it("computes shares that add up to exactly the limit", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 200 }),
        fc.integer({ min: 1, max: 40 }),
        fc.string(),
        (limit, vmCount, id) => {
          let sum = 0;
          for (let rank = 0; rank < vmCount; rank++) {
            const server = { backendServerId: toId<never>(id), limit };
            sum += warmShareOf(server, { rank, vmCount });
          }
          expect(sum).toEqual(limit);
        },
      ),
      { seed: 2 },
    );
  });
});

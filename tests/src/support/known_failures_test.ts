import { expect } from "earl";
import { describe, it } from "node:test";
import { findKnownFailure, parseKnownFailures } from "./known_failures.js";

const TEXT = `
# comment
random_faults/a_test | holds, seed 1 | npm test | overload | issue 5
`;

describe("the list of known failures", () => {
  it("matches only the test with the listed file and name", () => {
    const entries = parseKnownFailures(TEXT);
    const file = "/x/tests/dist/random_faults/a_test.js";
    expect(findKnownFailure(entries, { file, name: "holds, seed 1" })).toEqual(
      entries[0],
    );
    expect(findKnownFailure(entries, { file, name: "holds, seed 2" })).toEqual(
      undefined,
    );
    const other = "/x/tests/dist/random_faults/b_test.js";
    expect(findKnownFailure(entries, { file: other, name: "holds, seed 1" }))
      .toEqual(undefined);
  });

  it("rejects a line without a test name", () => {
    expect(() => parseKnownFailures("only-a-file")).toThrow();
  });
});

import { expect } from "earl";
import { describe, it } from "node:test";
import { fitLine } from "./linear_fit.js";

describe("fitLine", () => {
  it("fits a line exactly through collinear points", () => {
    const points = [1, 2, 5].map((size) => ({ size, value: 4 + 3 * size }));
    const fit = fitLine(points);
    expect(Math.abs(fit.slope - 3) < 1e-9).toEqual(true);
    expect(Math.abs(fit.intercept - 4) < 1e-9).toEqual(true);
    expect(Math.abs(fit.rSquared - 1) < 1e-9).toEqual(true);
  });

  it("gives a low R² for points that are not linear", () => {
    const values = [0, 5, 0, 5, 0];
    const fit = fitLine(values.map((value, size) => ({ size, value })));
    expect(fit.rSquared < 0.1).toEqual(true);
  });
});

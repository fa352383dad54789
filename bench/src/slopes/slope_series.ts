/**
 * Formats measured series and their linear fits for the capacity page.
 *
 * @module
 */

import { fitLine, type LinearFit, type Point } from "./linear_fit.js";

export interface SlopeSeries {
  /** For example "processor time of a heartbeat". */
  readonly name: string;
  readonly unit: string;
  /** The independent variable, for example "owned pools". */
  readonly sizeName: string;
  readonly points: readonly Point[];
}

/**
 * Formats a Markdown table of all series with slope, intercept and R².
 *
 * @example
 * ```ts
 * console.log(formatSlopes([series]));
 * ```
 */
export function formatSlopes(series: readonly SlopeSeries[]): string {
  const rows = series.map((entry) => {
    const fit = fitLine(entry.points);
    const points = entry.points
      .map(({ size, value }) => `${size}: ${formatNumber(value)}`)
      .join("; ");
    return [
      entry.name,
      entry.unit,
      entry.sizeName,
      points,
      ...formatFit(fit),
    ];
  });
  const header = [
    "Measure",
    "Unit",
    "By",
    "Measured",
    "Slope",
    "Intercept",
    "R²",
  ];
  const separator = header.map(() => "---");
  return [header, separator, ...rows].map((cells) => `| ${cells.join(" | ")} |`)
    .join("\n");
}

function formatFit(fit: LinearFit): string[] {
  return [fit.slope, fit.intercept, fit.rSquared].map(formatNumber);
}

function formatNumber(value: number): string {
  return String(Number(value.toPrecision(3)));
}

/**
 * Formats tables for a terminal.
 *
 * @module
 */

/**
 * Aligns the first column to the left and the others to the right.
 *
 * @example
 * ```ts
 * console.log(formatTable([["stage", "ms"], ["encode", "12.0"]]));
 * ```
 */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const widths: number[] = [];
  for (const row of rows) {
    for (const [column, cell] of row.entries()) {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    }
  }
  return rows
    .map((row) =>
      row.map((cell, column) => {
        const width = widths[column] ?? 0;
        return column === 0 ? cell.padEnd(width) : cell.padStart(width);
      }).join("  ").trimEnd()
    )
    .join("\n");
}

/**
 * Formats a fraction as a percentage with two decimal places.
 *
 * @example
 * ```ts
 * formatPercent(0.995); // "99.50%"
 * ```
 */
export function formatPercent(share: number): string {
  return `${(share * 100).toFixed(2)}%`;
}

/**
 * Formats text tables.
 *
 * @module
 */

type Cell = string | number;

/**
 * Aligns the columns; the first row is the header.
 *
 * @example
 * ```ts
 * formatTable([["vm", "generation"], ["vm-a1", 7]]);
 * ```
 */
export function formatTable(rows: readonly (readonly Cell[])[]): string {
  const columns = rows[0]?.length ?? 0;
  const widths = Array.from(
    { length: columns },
    (_, column) =>
      Math.max(...rows.map((row) => String(row[column] ?? "").length)),
  );
  return rows.map((row) => `${formatRow(row, widths)}\n`).join("");
}

function formatRow(row: readonly Cell[], widths: readonly number[]): string {
  return row
    .map((cell, column) => String(cell).padEnd(widths[column] ?? 0))
    .join("  ")
    .trimEnd();
}

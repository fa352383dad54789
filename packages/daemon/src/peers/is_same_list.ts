/**
 * Compares two lists item by item.
 *
 * @example
 * ```ts
 * if (!isSameList(versions, known)) report(versions);
 * ```
 */
export function isSameList<Item>(
  a: readonly Item[],
  b: readonly Item[],
): boolean {
  return a.length === b.length && a.every((value, index) => value === b[index]);
}

/**
 * Groups values by a key.
 *
 * @module
 */

/**
 * @example
 * ```ts
 * groupBy([1, 2, 3], (n) => n % 2 === 0 ? "even" : "odd").get("odd"); // [1, 3]
 * ```
 */
export function groupBy<Value>(
  values: readonly Value[],
  keyOf: (value: Value) => string,
): Map<string, Value[]> {
  const groups = new Map<string, Value[]>();
  for (const value of values) {
    const key = keyOf(value);
    const members = groups.get(key);
    if (members === undefined) groups.set(key, [value]);
    else members.push(value);
  }
  return groups;
}

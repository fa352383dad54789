/**
 * Values that nest deeply, as odd objects of other writers may.
 *
 * @module
 */

/** Returns arrays within arrays, as many as the depth. */
export function nestedValue(depth: number): unknown {
  let value: unknown = [];
  for (let n = 0; n < depth; n++) value = [value];
  return value;
}

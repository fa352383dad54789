/**
 * Bounds how deeply the values of objects nest. Other writers choose them, and
 * comparing or encoding a value takes a frame of the call stack for each level.
 *
 * @module
 */

import type { StoredObject } from "@sassafrasstage/protocol/platform_objects";

/** No object that the product reads nests half as deeply. */
const MAX_NESTING = 32;

/**
 * Returns the object without its value if that nests too deeply; such an object
 * is unreadable for all formats.
 *
 * @example
 * ```ts
 * const object = boundNesting(event.object);
 * ```
 */
export function boundNesting(object: StoredObject): StoredObject {
  return isBounded(object.value) && isBounded(object.status)
    ? object
    : { ...object, value: null, status: null };
}

function isBounded(value: unknown): boolean {
  let level = [value];
  for (let depth = 0; depth <= MAX_NESTING; depth++) {
    level = level.flatMap(childrenOf);
    if (level.length === 0) return true;
  }
  return false;
}

function childrenOf(value: unknown): unknown[] {
  return typeof value === "object" && value !== null
    ? Object.values(value)
    : [];
}

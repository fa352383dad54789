/**
 * Cheap checks of the shape of decoded values.
 *
 * @module
 */

/** Whether a decoded value has the expected shape. */
export type ShapeCheck = (value: unknown) => boolean;

/** Longer identifiers and texts are no part of any message but bodies. */
const MAX_NAME_LENGTH = 4096;

export function isName(value: unknown): boolean {
  return typeof value === "string" && value.length <= MAX_NAME_LENGTH;
}

export function isText(value: unknown): boolean {
  return typeof value === "string";
}

export function isFlag(value: unknown): boolean {
  return typeof value === "boolean";
}

export function isFiniteNumber(value: unknown): boolean {
  return typeof value === "number" && Number.isFinite(value);
}

export function isWholeNumber(value: unknown): boolean {
  return typeof value === "number" && Number.isSafeInteger(value) &&
    value >= 0;
}

/**
 * Accepts one of the given texts.
 *
 * @example
 * ```ts
 * const isWarmth = oneOf("cold", "warm");
 * ```
 */
export function oneOf(...texts: readonly string[]): ShapeCheck {
  const known = new Set<unknown>(texts);
  return (value) => known.has(value);
}

/**
 * Accepts an absent field, or one of the given shape.
 *
 * @example
 * ```ts
 * const hasTokens = shape({ tokens: optional(isWholeNumber) });
 * ```
 */
export function optional(check: ShapeCheck): ShapeCheck {
  return (value) => value === undefined || check(value);
}

/**
 * Accepts an array of the given shape.
 *
 * @example
 * ```ts
 * const isNameList = listOf(isName);
 * ```
 */
export function listOf(check: ShapeCheck): ShapeCheck {
  return (value) => Array.isArray(value) && value.every(check);
}

/**
 * Accepts an object with these fields; others are let through unread.
 *
 * @example
 * ```ts
 * const isPool = shape({ service: isName, dataCentre: isName });
 * ```
 */
export function shape(
  fields: Readonly<Record<string, ShapeCheck>>,
): ShapeCheck {
  const entries = Object.entries(fields);
  return (value) =>
    isRecord(value) && entries.every(([name, check]) => check(value[name]));
}

/**
 * Accepts an object whose `tag` field names one of the variants, and that has
 * the variant's shape.
 *
 * @example
 * ```ts
 * const isOutcome = variant("kind", { notRun: shape({}) });
 * ```
 */
export function variant(
  tag: string,
  shapes: Readonly<Record<string, ShapeCheck>>,
): ShapeCheck {
  const byName = new Map<unknown, ShapeCheck>(Object.entries(shapes));
  return (value) =>
    isRecord(value) && (byName.get(value[tag])?.(value) ?? false);
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null;
}

/**
 * Inexpensive validators for the shape of decoded values.
 *
 * @module
 */

/** Whether a decoded value has the expected shape. */
export type ShapeCheck = (value: unknown) => boolean;

/** In UTF-16 code units. Only bodies and details may be longer. */
const MAX_SHORT_STRING_LENGTH = 4096;

export function isShortString(value: unknown): boolean {
  return typeof value === "string" && value.length <= MAX_SHORT_STRING_LENGTH;
}

export function isString(value: unknown): boolean {
  return typeof value === "string";
}

export function isBoolean(value: unknown): boolean {
  return typeof value === "boolean";
}

export function isBytes(value: unknown): boolean {
  return value instanceof Uint8Array;
}

export function isFiniteNumber(value: unknown): boolean {
  return typeof value === "number" && Number.isFinite(value);
}

export function isNonNegativeInteger(value: unknown): boolean {
  return typeof value === "number" && Number.isSafeInteger(value) &&
    value >= 0;
}

export function isNonNegativeNumber(value: unknown): boolean {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

/**
 * Accepts one of the given strings.
 *
 * @example
 * ```ts
 * const isWarmUpState = oneOf("cold", "warm");
 * ```
 */
export function oneOf(...allowedValues: readonly string[]): ShapeCheck {
  const known = new Set<unknown>(allowedValues);
  return (value) => known.has(value);
}

/**
 * Accepts `undefined`, or a value that passes the check.
 *
 * @example
 * ```ts
 * const hasTokens = shape({ tokens: optional(isNonNegativeInteger) });
 * ```
 */
export function optional(check: ShapeCheck): ShapeCheck {
  return (value) => value === undefined || check(value);
}

/**
 * Accepts an array whose elements all pass the check.
 *
 * @example
 * ```ts
 * const isNameList = arrayOf(isShortString);
 * ```
 */
export function arrayOf(check: ShapeCheck): ShapeCheck {
  return (value) => Array.isArray(value) && value.every(check);
}

/**
 * Accepts an object whose given fields pass their checks; other fields are
 * ignored.
 *
 * @example
 * ```ts
 * const isPool = shape({ service: isShortString, dataCentre: isShortString });
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
 * Accepts a discriminated union: an object whose `tag` field names one of the
 * variants and that has this variant's shape.
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
  const checksByTag = new Map<unknown, ShapeCheck>(Object.entries(shapes));
  return (value) =>
    isRecord(value) && (checksByTag.get(value[tag])?.(value) ?? false);
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null;
}

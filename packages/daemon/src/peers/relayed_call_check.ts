/**
 * Validates the parts of messages about calls that a VM makes for another one.
 *
 * @module
 */

import {
  arrayOf,
  isBoolean,
  isBytes,
  isFiniteNumber,
  isNonNegativeInteger,
  isNonNegativeNumber,
  isShortString,
  isString,
  oneOf,
  optional,
  shape,
  variant,
} from "./message_shape.js";

function isHeader(value: unknown): boolean {
  return Array.isArray(value) && value.length === 2 && value.every(isString);
}

/** Whether a value is a call to be made for another VM. */
export const isRelayedCall = shape({
  backendServerId: isShortString,
  startedAt: optional(isFiniteNumber),
  attemptId: isShortString,
  host: isString,
  method: isShortString,
  path: isString,
  headers: arrayOf(isHeader),
  bodyBytes: isNonNegativeInteger,
  remainingMs: isNonNegativeNumber,
  clientAccountId: optional(isShortString),
  inputs: optional(arrayOf(isString)),
  resumeAfter: optional(isString),
  hasRolloutPermit: optional(isBoolean),
});

const isRelayedResponseHead = shape({
  status: isNonNegativeInteger,
  headers: arrayOf(isHeader),
  isNotRun: isBoolean,
  isInputGone: isBoolean,
  endsWithConnection: isBoolean,
  isGenuine: isBoolean,
  rateLimit: variant("kind", {
    limited: shape({ requestsPerSecond: isNonNegativeNumber }),
    unlimited: shape({}),
    unknown: shape({}),
  }),
  notice: shape({
    isLeaving: isBoolean,
    pause: variant("kind", {
      none: shape({}),
      requested: shape({ durationMs: isNonNegativeNumber }),
      invalid: shape({ text: isString }),
    }),
  }),
  load: optional(variant("kind", {
    stated: shape({
      load: shape({
        running: isNonNegativeNumber,
        waiting: isNonNegativeNumber,
        slots: isNonNegativeNumber,
        slowdown: optional(isNonNegativeNumber),
      }),
    }),
    none: shape({}),
    invalid: shape({ text: isString }),
  })),
});

/** Whether a value is an event of such a call. */
export const isRelayedCallEvent = variant("kind", {
  sent: shape({}),
  head: shape({ head: isRelayedResponseHead }),
  data: shape({ data: isBytes }),
  ended: shape({}),
  notSent: shape({
    detail: isString,
    isConnectionFailure: isBoolean,
    isPeerFailure: isBoolean,
  }),
  broken: shape({
    detail: isString,
    remainingConnections: oneOf("none", "some", "notChecked"),
  }),
});

/**
 * Validates the messages about rollouts of software versions.
 *
 * @module
 */

import {
  arrayOf,
  isBoolean,
  isNonNegativeInteger,
  isNonNegativeNumber,
  isShortString,
  oneOf,
  optional,
  shape,
} from "./message_shape.js";

const isPhase = oneOf("observing", "shifting", "completed", "rolledBack");

const isCallCounts = shape({
  route: isShortString,
  side: oneOf("current", "candidate"),
  server: optional(isShortString),
  dataCentre: optional(isShortString),
  sent: isNonNegativeInteger,
  answered: isNonNegativeInteger,
  failed: isNonNegativeInteger,
  durations: arrayOf(isNonNegativeInteger),
  waiting: optional(arrayOf(isNonNegativeInteger)),
  pauses: optional(arrayOf(isNonNegativeInteger)),
});

export const isRolloutReport = shape({
  request: isShortString,
  candidate: isShortString,
  sequence: isNonNegativeInteger,
  counts: arrayOf(isCallCounts),
  inFlightAtCurrent: isNonNegativeInteger,
  phase: isPhase,
  ageMs: isNonNegativeNumber,
  hasSeenCurrent: isBoolean,
  reserved: isNonNegativeInteger,
  term: isShortString,
  permitUse: arrayOf(shape({
    route: isShortString,
    used: isNonNegativeInteger,
    expired: isNonNegativeInteger,
  })),
});

export const isRolloutPermits = shape({
  request: isShortString,
  candidate: isShortString,
  sequence: isNonNegativeInteger,
  term: isShortString,
  revision: isNonNegativeInteger,
  era: isNonNegativeInteger,
  reserved: isNonNegativeInteger,
  phase: isPhase,
  grants: arrayOf(shape({ route: isShortString, count: isNonNegativeInteger })),
  servers: arrayOf(isShortString),
});

export const isRolloutPhaseNews = shape({
  request: isShortString,
  candidate: isShortString,
  phase: isPhase,
  revision: isNonNegativeInteger,
  era: isNonNegativeInteger,
});

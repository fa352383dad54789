/**
 * Whole numbers on the command line.
 *
 * @module
 */

import { InvalidArgumentError } from "commander";

/** Parses an option's value for commander. */
export function parseWholeNumber(text: string): number {
  if (/^\d{1,12}$/.test(text)) return Number(text);
  throw new InvalidArgumentError("Expected a whole number");
}

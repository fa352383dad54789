/**
 * Parses whole numbers on the command line.
 *
 * @module
 */

import { InvalidArgumentError } from "commander";

/** An option value parser for commander. */
export function parseWholeNumber(text: string): number {
  if (/^\d{1,12}$/.test(text)) return Number(text);
  throw new InvalidArgumentError("Expected a whole number");
}

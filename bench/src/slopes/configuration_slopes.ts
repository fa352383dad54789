/**
 * What a configuration costs by its size: bytes, time to check, memory.
 *
 * @module
 */

import { checkConfiguration } from "@sassafrasstage/protocol/configuration";
import { measureHeapBytes } from "./heap_size.js";
import { measureProcessorUs } from "./processor_time.js";
import type { SlopeSeries } from "./slope_series.js";
import {
  type ConfigurationSize,
  DESIGN_SIZE,
  makeContent,
  makeSubmission,
} from "./synthetic_configuration.js";

const SIZES: readonly number[] = [0.25, 0.5, 1, 2];
const REPEATS = 3;

interface Growth {
  readonly sizeName: string;
  sizeAt(part: number): ConfigurationSize;
  countOf(size: ConfigurationSize): number;
}

const BY_ENGINES: Growth = {
  sizeName: "backend servers",
  sizeAt: (part) => ({
    ...DESIGN_SIZE,
    clientAccounts: 0,
    engines: DESIGN_SIZE.engines * part,
  }),
  countOf: (size) => size.engines,
};

const BY_ACCOUNTS: Growth = {
  sizeName: "client accounts",
  sizeAt: (part) => ({
    ...DESIGN_SIZE,
    engines: 0,
    clientAccounts: DESIGN_SIZE.clientAccounts * part,
  }),
  countOf: (size) => size.clientAccounts,
};

/**
 * Measures configurations of four sizes, by backend servers and by client
 * accounts.
 *
 * @example
 * ```ts
 * console.log(formatSlopes(measureConfigurationSlopes()));
 * ```
 */
export function measureConfigurationSlopes(): SlopeSeries[] {
  return [BY_ENGINES, BY_ACCOUNTS].flatMap((growth) => [
    measure(growth, {
      name: "configuration as JSON",
      unit: "bytes",
      valueOf: (size) => JSON.stringify(makeSubmission(size)).length,
    }),
    measure(growth, {
      name: "parse and check a configuration",
      unit: "ms of processor",
      valueOf: measureCheckMs,
    }),
    measure(growth, {
      name: "configuration in memory",
      unit: "bytes",
      valueOf: (size) => measureHeapBytes(() => makeContent(size)),
    }),
  ]);
}

interface Measure {
  readonly name: string;
  readonly unit: string;
  valueOf(size: ConfigurationSize): number;
}

function measure(growth: Growth, what: Measure): SlopeSeries {
  const sizes = SIZES.map((part) => growth.sizeAt(part));
  return {
    name: what.name,
    unit: what.unit,
    sizeName: growth.sizeName,
    points: sizes.map((size) => ({
      size: growth.countOf(size),
      value: what.valueOf(size),
    })),
  };
}

function measureCheckMs(size: ConfigurationSize): number {
  const text = JSON.stringify(makeSubmission(size));
  return measureProcessorUs(() => {
    checkConfiguration(JSON.parse(text));
  }, REPEATS) / 1000;
}

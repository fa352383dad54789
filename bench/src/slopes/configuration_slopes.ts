/**
 * Measures a configuration's bytes, validation time and memory by its size.
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

const SIZE_FACTORS: readonly number[] = [0.25, 0.5, 1, 2];
const REPEATS = 3;

interface SizeDimension {
  readonly sizeName: string;
  sizeAt(factor: number): ConfigurationSize;
  countOf(size: ConfigurationSize): number;
}

const ENGINE_DIMENSION: SizeDimension = {
  sizeName: "backend servers",
  sizeAt: (factor) => ({
    ...DESIGN_SIZE,
    clientAccounts: 0,
    engines: DESIGN_SIZE.engines * factor,
  }),
  countOf: (size) => size.engines,
};

const ACCOUNT_DIMENSION: SizeDimension = {
  sizeName: "client accounts",
  sizeAt: (factor) => ({
    ...DESIGN_SIZE,
    engines: 0,
    clientAccounts: DESIGN_SIZE.clientAccounts * factor,
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
  return [ENGINE_DIMENSION, ACCOUNT_DIMENSION].flatMap((dimension) => [
    measureSeries(dimension, {
      name: "configuration as JSON",
      unit: "bytes",
      measureValue: (size) => JSON.stringify(makeSubmission(size)).length,
    }),
    measureSeries(dimension, {
      name: "parse and check a configuration",
      unit: "ms of processor",
      measureValue: measureCheckMs,
    }),
    measureSeries(dimension, {
      name: "configuration in memory",
      unit: "bytes",
      measureValue: (size) => measureHeapBytes(() => makeContent(size)),
    }),
  ]);
}

interface ConfigurationMeasure {
  readonly name: string;
  readonly unit: string;
  measureValue(size: ConfigurationSize): number;
}

function measureSeries(
  dimension: SizeDimension,
  measure: ConfigurationMeasure,
): SlopeSeries {
  const sizes = SIZE_FACTORS.map((factor) => dimension.sizeAt(factor));
  return {
    name: measure.name,
    unit: measure.unit,
    sizeName: dimension.sizeName,
    points: sizes.map((size) => ({
      size: dimension.countOf(size),
      value: measure.measureValue(size),
    })),
  };
}

function measureCheckMs(size: ConfigurationSize): number {
  const text = JSON.stringify(makeSubmission(size));
  return measureProcessorUs(() => {
    checkConfiguration(JSON.parse(text));
  }, REPEATS) / 1000;
}

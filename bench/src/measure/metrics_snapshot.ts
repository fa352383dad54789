/**
 * Reads the daemons' metrics and sums them over all daemons.
 *
 * @module
 */

import type { Cluster } from "@sassafrasstage/stand-ins/cluster/cluster";

const SAMPLE_PATTERN =
  /^(?<name>[a-zA-Z_]+)(?:\{(?<labels>[^}]*)\})? (?<value>\S+)$/;
const LABEL_PATTERN = /(?<key>\w+)="(?<value>[^"]*)"/g;

export interface Sample {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

/**
 * Parses the Prometheus text format.
 *
 * @example
 * ```ts
 * parseSamples('retries_total{reason="failed"} 2')[0]?.value; // 2
 * ```
 */
export function parseSamples(text: string): Sample[] {
  return text.split("\n").flatMap((line) => {
    const groups = SAMPLE_PATTERN.exec(line)?.groups;
    if (groups === undefined) return [];
    return [{
      name: groups["name"] ?? "",
      labels: parseLabels(groups["labels"] ?? ""),
      value: Number(groups["value"]),
    }];
  });
}

/**
 * Reads the samples of each running daemon; skips one that doesn't respond.
 *
 * @example
 * ```ts
 * const samples = await readSamples(cluster);
 * sumSamples(samples, "sassafrasstage_retries_total");
 * ```
 */
export async function readSamples(cluster: Cluster): Promise<Sample[]> {
  const running = cluster.daemons.filter((daemon) => daemon.isRunning);
  const texts = await Promise.all(
    running.map((daemon) => daemon.metrics().catch(() => "")),
  );
  return texts.flatMap(parseSamples);
}

/** The sum of a metric over all samples with the given labels. */
export function sumSamples(
  samples: readonly Sample[],
  name: string,
  labels: Readonly<Record<string, string>> = {},
): number {
  return samples
    .filter((sample) => sample.name === name)
    .filter((sample) =>
      Object.entries(labels).every(([key, value]) =>
        sample.labels[key] === value
      )
    )
    .reduce((sum, sample) => sum + sample.value, 0);
}

function parseLabels(text: string): Record<string, string> {
  const labels: Record<string, string> = {};
  for (const match of text.matchAll(LABEL_PATTERN)) {
    const key = match.groups?.["key"] ?? "";
    labels[key] = match.groups?.["value"] ?? "";
  }
  return labels;
}

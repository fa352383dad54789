/**
 * Writes the INI settings file of one daemon.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import type { SettingsOverrides } from "./cluster_plan.js";

/** Merges the overrides into the settings, section by section. */
export function mergeSettings(
  settings: SettingsOverrides,
  overrides: SettingsOverrides,
): SettingsOverrides {
  const merged: Record<string, Record<string, string | number>> = {};
  for (const source of [settings, overrides]) {
    for (const [name, section] of Object.entries(source)) {
      merged[name] = { ...merged[name], ...section };
    }
  }
  return merged;
}

/** Formats settings as an INI file. */
export function formatSettings(settings: SettingsOverrides): string {
  const sections = Object.entries(settings).map(([name, section]) => {
    const lines = Object.entries(section).map(([key, value]) =>
      `${key} = ${value}`
    );
    return `[${name}]\n${lines.join("\n")}\n`;
  });
  return sections.join("\n");
}

export function writeSettingsFile(
  path: string,
  settings: SettingsOverrides,
): void {
  writeFileSync(path, formatSettings(settings));
}

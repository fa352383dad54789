/**
 * Parses the text of a settings file and reports all of its faults.
 *
 * @module
 */

import { parse } from "ini";
import type { z } from "zod";
import { type Settings, settingsSchema } from "./settings.js";

const SECRET_KEYS: readonly string[] = ["peers.shared_key"];

/** An invalid, missing or unknown key or section. */
export interface SettingsFault {
  readonly section: string;
  /** Empty if the fault concerns the whole section. */
  readonly key: string;
  /** The value as written; redacted for secrets; undefined when absent. */
  readonly actual: string | undefined;
  readonly expected: string;
}

export type SettingsCheck =
  | { readonly kind: "valid"; readonly settings: Settings }
  | { readonly kind: "invalid"; readonly faults: readonly SettingsFault[] };

/**
 * Parses and validates the text of an INI file.
 *
 * @example
 * ```ts
 * const check = loadSettings(await readFile(path, "utf8"));
 * if (check.kind === "invalid") console.error(check.faults.map(formatSettingsFault));
 * ```
 */
export function loadSettings(text: string): SettingsCheck {
  const sections: unknown = parse(text);
  const parsed = settingsSchema.safeParse(sections);
  if (parsed.success) return { kind: "valid", settings: parsed.data };
  const faults = parsed.error.issues.flatMap((issue) =>
    toFaults(issue, sections)
  );
  return { kind: "invalid", faults };
}

/**
 * Formats a fault as one line for an operator.
 *
 * @example
 * ```ts
 * formatSettingsFault(fault);
 * // [vm] id: got "VM 1", expected 1 to 63 of a-z, 0-9, '.', '_' and '-'
 * // [listen] http: the key is missing
 * // [admin]: the section is missing
 * ```
 */
export function formatSettingsFault(fault: SettingsFault): string {
  const isSection = fault.key === "";
  const place = `[${fault.section}]${isSection ? "" : ` ${fault.key}`}`;
  if (fault.actual === undefined) {
    return `${place}: the ${isSection ? "section" : "key"} is missing`;
  }
  return `${place}: got "${fault.actual}", ${fault.expected}`;
}

function toFaults(issue: z.core.$ZodIssue, sections: unknown): SettingsFault[] {
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => toUnknownKeyFault([...issue.path, key]));
  }
  return [
    toFault(issue.path, { sections, expected: lowerFirst(issue.message) }),
  ];
}

interface FaultContext {
  readonly sections: unknown;
  readonly expected: string;
}

function toFault(
  path: readonly PropertyKey[],
  context: FaultContext,
): SettingsFault {
  const [section, key] = path.map(String);
  return {
    section: section ?? "",
    key: key ?? "",
    actual: describeValue(path, context.sections),
    expected: context.expected,
  };
}

/** Hides the value, which may be a secret under a misspelled key. */
function toUnknownKeyFault(path: readonly PropertyKey[]): SettingsFault {
  const [section, key] = path.map(String);
  return {
    section: section ?? "",
    key: key ?? "",
    actual: "(not shown)",
    expected: "expected no key of this name",
  };
}

function describeValue(
  path: readonly PropertyKey[],
  sections: unknown,
): string | undefined {
  let value = sections;
  for (const pathPart of path) {
    if (typeof value !== "object" || value === null) break;
    value = (value as Record<PropertyKey, unknown>)[pathPart];
  }
  if (value === undefined) return undefined;
  if (SECRET_KEYS.includes(path.slice(0, 2).join("."))) return "(redacted)";
  return typeof value === "string" ? value : JSON.stringify(value);
}

function lowerFirst(text: string): string {
  return text.charAt(0).toLowerCase() + text.slice(1);
}

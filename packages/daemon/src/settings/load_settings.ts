/**
 * Reads a settings file's text and names everything that is wrong with it.
 *
 * @module
 */

import { parse } from "ini";
import type { z } from "zod";
import { type Settings, settingsSchema } from "./settings.js";

const SECRET_KEYS: readonly string[] = ["peers.shared_key"];

/** One wrong, missing or unknown key. */
export interface SettingsFault {
  readonly section: string;
  readonly key: string;
  /** The value as written; hidden for secrets; undefined when absent. */
  readonly seen: string | undefined;
  readonly expected: string;
}

export type SettingsCheck =
  | { readonly kind: "valid"; readonly settings: Settings }
  | { readonly kind: "invalid"; readonly faults: readonly SettingsFault[] };

/**
 * Checks the text of an INI file.
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
 * One fault as a line for people.
 *
 * @example
 * ```ts
 * formatSettingsFault(fault);
 * // [vm] id: saw "VM 1", expected 1 to 63 of a-z, 0-9, '.', '_' and '-'
 * ```
 */
export function formatSettingsFault(fault: SettingsFault): string {
  const seen = fault.seen === undefined ? "nothing" : `"${fault.seen}"`;
  return `[${fault.section}] ${fault.key}: saw ${seen}, ${fault.expected}`;
}

function toFaults(issue: z.core.$ZodIssue, sections: unknown): SettingsFault[] {
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) =>
      toFault([...issue.path, key], {
        sections,
        expected: "expected no such key here",
      })
    );
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
    seen: describeValue(path, context.sections),
    expected: context.expected,
  };
}

function describeValue(
  path: readonly PropertyKey[],
  sections: unknown,
): string | undefined {
  if (SECRET_KEYS.includes(path.slice(0, 2).join("."))) return "(hidden)";
  let value = sections;
  for (const step of path) {
    if (typeof value !== "object" || value === null) break;
    value = (value as Record<PropertyKey, unknown>)[step];
  }
  if (value === undefined) return undefined;
  return typeof value === "string" ? value : JSON.stringify(value);
}

function lowerFirst(text: string): string {
  return text.charAt(0).toLowerCase() + text.slice(1);
}

/**
 * The changes that operators submit, and their application to the accepted
 * configuration.
 *
 * @module
 */

import {
  checkConfiguration,
  type ConfigurationContent,
  type ConfigurationFault,
  findContentFaults,
} from "@sassafrasstage/protocol/configuration";
import type {
  BackendServerId,
  DataCentreName,
} from "@sassafrasstage/protocol/ids";

export type ConfigurationChange =
  /** The full register and rules, not validated yet. */
  | { readonly kind: "replace"; readonly content: unknown }
  | {
    readonly kind: "dataCentre";
    readonly name: DataCentreName;
    readonly direction: "out" | "in";
  }
  | {
    readonly kind: "backendServer";
    readonly id: BackendServerId;
    readonly direction: "out" | "in";
  };

export type ChangedContent =
  | { readonly kind: "changed"; readonly content: ConfigurationContent }
  /** The accepted configuration already contains the change. */
  | { readonly kind: "unchanged" }
  | { readonly kind: "invalid"; readonly faults: ConfigurationFault[] }
  | { readonly kind: "notFound"; readonly detail: string };

/**
 * True when the change can be applied on top of any other change, so that the
 * changes of two concurrent operators can both be accepted.
 */
export function isCommutative(change: ConfigurationChange): boolean {
  switch (change.kind) {
    case "replace":
      return false;
    case "dataCentre":
    case "backendServer":
      return true;
  }
}

/**
 * Applies the change and validates the resulting configuration. A replacement
 * doesn't read the accepted configuration.
 */
export function applyChange(
  change: ConfigurationChange,
  readAccepted: () => ConfigurationContent | undefined,
): ChangedContent {
  switch (change.kind) {
    case "replace":
      return checkReplacement(change.content);
    case "dataCentre":
      return changeDataCentre(change, readAccepted());
    case "backendServer":
      return changeBackendServer(change, readAccepted());
  }
}

function changeDataCentre(
  change: Extract<ConfigurationChange, { kind: "dataCentre" }>,
  accepted: ConfigurationContent | undefined,
): ChangedContent {
  const known = accepted?.register.dataCentres.some((entry) =>
    entry.name === change.name
  );
  if (accepted === undefined || known !== true) {
    return {
      kind: "notFound",
      detail: `No data centre is named "${change.name}"`,
    };
  }
  const before = accepted.rules.dataCentresOut;
  const dataCentresOut = updateOutList(before, change.name, change.direction);
  if (dataCentresOut.length === before.length) return { kind: "unchanged" };
  return changeRules(accepted, { ...accepted.rules, dataCentresOut });
}

function changeBackendServer(
  change: Extract<ConfigurationChange, { kind: "backendServer" }>,
  accepted: ConfigurationContent | undefined,
): ChangedContent {
  const known = accepted?.register.backendServers.some((entry) =>
    entry.id === change.id
  );
  if (accepted === undefined || known !== true) {
    return {
      kind: "notFound",
      detail: `No backend server is named "${change.id}"`,
    };
  }
  const before = accepted.rules.backendServersOut;
  const backendServersOut = updateOutList(before, change.id, change.direction);
  if (backendServersOut.length === before.length) return { kind: "unchanged" };
  return changeRules(accepted, { ...accepted.rules, backendServersOut });
}

function updateOutList<Name extends string>(
  names: readonly Name[],
  name: Name,
  direction: "out" | "in",
): Name[] {
  const others = names.filter((entry) => entry !== name);
  return direction === "out" ? [...others, name] : others;
}

/** The accepted content is known to be valid, so only the change is checked. */
function changeRules(
  accepted: ConfigurationContent,
  rules: ConfigurationContent["rules"],
): ChangedContent {
  const content = { register: accepted.register, rules };
  const faults = findContentFaults(content, accepted);
  if (faults.length > 0) return { kind: "invalid", faults };
  return { kind: "changed", content };
}

function checkReplacement(content: unknown): ChangedContent {
  const checked = checkConfiguration(content);
  if (checked.kind === "invalid") return checked;
  return { kind: "changed", content: checked.content };
}

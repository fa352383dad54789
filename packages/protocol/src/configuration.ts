/**
 * The configuration: register and rules, with the generation under which they
 * were accepted, and the validation that needs both.
 *
 * @module
 */

import { z } from "zod";
import { type Register, registerSchema } from "./register.js";
import { type Rules, rulesSchema } from "./rules.js";

/** The schema of the configuration that an operator submits. */
export const configurationContentSchema = z.strictObject({
  register: registerSchema,
  rules: rulesSchema,
});

export interface ConfigurationContent {
  readonly register: Register;
  readonly rules: Rules;
}

/** An accepted configuration. Generations start at 1 and only increase. */
export interface Configuration extends ConfigurationContent {
  readonly generation: number;
}

/** A validation error in a submitted configuration and its location. */
export interface ConfigurationFault {
  /** For example "rules.pipelines.2.stages.0.service". */
  readonly path: string;
  readonly message: string;
}

export type ConfigurationCheck =
  | { readonly kind: "valid"; readonly content: ConfigurationContent }
  | { readonly kind: "invalid"; readonly faults: ConfigurationFault[] };

/**
 * Validates a submitted configuration against the schema, and all names,
 * references and cold limits in it.
 *
 * @example
 * ```ts
 * const check = checkConfiguration(JSON.parse(text));
 * if (check.kind === "invalid") console.error(check.faults[0].path);
 * ```
 */
export function checkConfiguration(submitted: unknown): ConfigurationCheck {
  const parsed = configurationContentSchema.safeParse(submitted);
  if (!parsed.success) {
    const faults = parsed.error.issues.map((issue) => ({
      path: issue.path.join("."),
      message: issue.message,
    }));
    return { kind: "invalid", faults };
  }
  const faults = findContentFaults(parsed.data);
  if (faults.length > 0) return { kind: "invalid", faults };
  return { kind: "valid", content: parsed.data };
}

/**
 * Finds repeated names, unknown references and cold limits above the warm limit
 * in content that has passed the schema. Lists shared with `checked`, which has
 * already been validated, are not searched for repeated names again.
 *
 * @example
 * ```ts
 * const faults = findContentFaults({ register, rules });
 * ```
 */
export function findContentFaults(
  content: ConfigurationContent,
  checked?: ConfigurationContent,
): ConfigurationFault[] {
  return [
    ...findRepeatedNames(content, checked),
    ...findUnknownReferences(content),
  ];
}

interface NameList {
  readonly path: string;
  readonly names: readonly string[];
}

function findRepeatedNames(
  content: ConfigurationContent,
  checked: ConfigurationContent | undefined,
): ConfigurationFault[] {
  return [
    ...listRegisterNames(content.register, checked?.register),
    ...listRuleNames(content.rules, checked?.rules),
  ].flatMap(findRepeatedNamesInList);
}

function listRegisterNames(
  register: Register,
  checked: Register | undefined,
): NameList[] {
  const lists: NameList[] = [];
  for (const list of ["dataCentres", "models", "services"] as const) {
    if (register[list] === checked?.[list]) continue;
    const names = register[list].map((entry) => entry.name);
    lists.push({ path: `register.${list}`, names });
  }
  if (register.backendServers !== checked?.backendServers) {
    const names = register.backendServers.map((entry) => entry.id);
    lists.push({ path: "register.backendServers", names });
  }
  return lists;
}

function listRuleNames(
  rules: Rules,
  checked: Rules | undefined,
): NameList[] {
  const lists: NameList[] = [];
  if (rules.pipelines !== checked?.pipelines) {
    const names = rules.pipelines.map((entry) => entry.name);
    lists.push({ path: "rules.pipelines", names });
    for (const [index, pipeline] of rules.pipelines.entries()) {
      lists.push({
        path: `rules.pipelines.${index}.stages`,
        names: pipeline.stages.map((stage) => stage.name),
      });
    }
  }
  if (rules.clientAccounts !== checked?.clientAccounts) {
    const accounts = rules.clientAccounts;
    lists.push(
      {
        path: "rules.clientAccounts",
        names: accounts.map((entry) => entry.id),
      },
      {
        path: "rules.clientAccounts.keySha256",
        names: accounts.flatMap((entry) => entry.keySha256),
      },
    );
  }
  return lists;
}

function findRepeatedNamesInList(list: NameList): ConfigurationFault[] {
  const seen = new Set<string>();
  const faults: ConfigurationFault[] = [];
  for (const [index, name] of list.names.entries()) {
    if (seen.has(name)) {
      faults.push({
        path: `${list.path}.${index}`,
        message: `The name "${name}" stands twice`,
      });
    }
    seen.add(name);
  }
  return faults;
}

function findUnknownReferences(
  content: ConfigurationContent,
): ConfigurationFault[] {
  const { register, rules } = content;
  const dataCentres = new Set<string>(register.dataCentres.map((d) => d.name));
  const models = new Set<string>(register.models.map((m) => m.name));
  const services = new Set<string>(register.services.map((s) => s.name));
  const servers = new Set<string>(register.backendServers.map((b) => b.id));
  const faults: ConfigurationFault[] = [];

  function checkReference(
    known: ReadonlySet<string>,
    name: string,
    reference: { readonly path: string; readonly kind: string },
  ): void {
    if (known.has(name)) return;
    faults.push({
      path: reference.path,
      message: `No ${reference.kind} is named "${name}"`,
    });
  }

  for (const [index, service] of register.services.entries()) {
    const path = `register.services.${index}`;
    if (service.coldLimit > service.warmLimit) {
      faults.push({
        path: `${path}.coldLimit`,
        message: "The cold limit is above the warm limit",
      });
    }
    if (service.kind !== "modelEngine") continue;
    checkReference(models, service.model, {
      path: `${path}.model`,
      kind: "model",
    });
  }
  for (const [index, server] of register.backendServers.entries()) {
    const path = `register.backendServers.${index}`;
    checkReference(services, server.service, {
      path: `${path}.service`,
      kind: "service",
    });
    checkReference(dataCentres, server.dataCentre, {
      path: `${path}.dataCentre`,
      kind: "data centre",
    });
  }
  for (const [index, pipeline] of rules.pipelines.entries()) {
    for (const [stageIndex, stage] of pipeline.stages.entries()) {
      checkReference(services, stage.service, {
        path: `rules.pipelines.${index}.stages.${stageIndex}.service`,
        kind: "service",
      });
    }
  }
  for (const [index, name] of rules.dataCentresOut.entries()) {
    checkReference(dataCentres, name, {
      path: `rules.dataCentresOut.${index}`,
      kind: "data centre",
    });
  }
  for (const [index, id] of rules.backendServersOut.entries()) {
    checkReference(servers, id, {
      path: `rules.backendServersOut.${index}`,
      kind: "backend server",
    });
  }
  return faults;
}

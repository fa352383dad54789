/**
 * The largest share of each class of requests that the stage services could
 * serve if every call were full, no result were made in vain and work could be
 * put off within the phase without end. A scheduler can't reach it; how far it
 * stays below tells what is left to gain.
 *
 * @module
 */

import linearSolver from "javascript-lp-solver";
import type {
  LoadPhase,
  RequestClass,
  StageLoad,
  StageService,
} from "./stage_load.js";

const MS_PER_SECOND = 1000;

interface LinearModel {
  readonly optimize: string;
  readonly opType: "max";
  readonly constraints: Readonly<Record<string, { readonly max: number }>>;
  readonly variables: Readonly<Record<string, Record<string, number>>>;
}

/** The library's types describe its CommonJS form, not the one imported. */
const solver = linearSolver as unknown as {
  Solve(model: LinearModel): Readonly<Record<string, unknown>>;
};

export interface PossibleShares {
  /** Served of what was asked, by class. */
  readonly shares: ReadonlyMap<string, number>;
  /** Of the worth that was asked. */
  readonly worthShare: number;
  /** Server time and room that the whole load would take, by service. */
  readonly demands: readonly ServiceDemand[];
}

export interface ServiceDemand {
  readonly service: string;
  /** Part of all server time; above 1 is more than there is. */
  readonly time: number;
  /** Part of all room for results. */
  readonly room: number;
}

/** The best mix of one phase, by the worth of what is served. */
export function findPossible(
  load: StageLoad,
  phase: LoadPhase,
): PossibleShares {
  const rates = new Map(
    load.classes.map((one) => [
      one.name,
      one.perSecond * (phase.factors[one.name] ?? 1),
    ]),
  );
  const constraints: Record<string, { max: number }> = {};
  const variables: Record<string, Record<string, number>> = {};
  const demands = load.services.map((service) => {
    constraints[`${service.name}.time`] = { max: 1 };
    constraints[`${service.name}.room`] = { max: 1 };
    return { service: service.name, time: 0, room: 0 };
  });
  let worthAsked = 0;
  for (const one of load.classes) {
    const rate = rates.get(one.name) ?? 0;
    worthAsked += rate * one.worth;
    constraints[`${one.name}.share`] = { max: 1 };
    const variable: Record<string, number> = {
      worth: rate * one.worth,
      [`${one.name}.share`]: 1,
    };
    for (const [index, service] of load.services.entries()) {
      const part = demandOf(one, service, { rate, phase });
      variable[`${service.name}.time`] = part.time;
      variable[`${service.name}.room`] = part.room;
      const demand = demands[index];
      if (demand === undefined) continue;
      demand.time += part.time;
      demand.room += part.room;
    }
    variables[one.name] = variable;
  }
  const solution = solver.Solve({
    optimize: "worth",
    opType: "max",
    constraints,
    variables,
  });
  const shares = new Map(
    load.classes.map(({ name }) => [name, numberAt(solution, name)]),
  );
  const worthServed = load.classes.reduce(
    (sum, one) =>
      sum +
      (shares.get(one.name) ?? 0) * (rates.get(one.name) ?? 0) * one.worth,
    0,
  );
  return {
    shares,
    worthShare: worthAsked === 0 ? 1 : worthServed / worthAsked,
    demands,
  };
}

/** What a class takes of a service, as parts of all there is. */
function demandOf(
  one: RequestClass,
  service: StageService,
  input: { readonly rate: number; readonly phase: LoadPhase },
): { readonly time: number; readonly room: number } {
  const { rate, phase } = input;
  const servers = service.servers - (phase.lost[service.name] ?? 0);
  const itemShareMs = service.itemMs + service.callMs / service.maxItems;
  let time = 0;
  let room = 0;
  for (const stage of one.stages) {
    if (stage.service !== service.name) continue;
    const itemsPerSecond = rate * stage.items;
    time += itemsPerSecond * itemShareMs / MS_PER_SECOND / servers;
    room += itemsPerSecond * stage.heldMs / MS_PER_SECOND *
      stage.resultBytes / (servers * service.resultRoomBytes);
  }
  return { time, room };
}

/** The solver leaves out what is zero. */
function numberAt(
  solution: Readonly<Record<string, unknown>>,
  name: string,
): number {
  const value = solution[name];
  return typeof value === "number" ? value : 0;
}

/**
 * Computes an upper bound on the share of each request class that the stage
 * services can serve: it assumes that every call is full, every result is used
 * and work can be delayed without limit within the phase. A scheduler can't
 * reach the bound; the difference shows how much it could still improve.
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

/** The library's types describe its CommonJS export, not the ES import. */
const solver = linearSolver as unknown as {
  Solve(model: LinearModel): Readonly<Record<string, unknown>>;
};

export interface ServableShares {
  /** Fraction of the requests that can be served, by class. */
  readonly shares: ReadonlyMap<string, number>;
  /** Fraction of the total worth of the requests that can be served. */
  readonly worthShare: number;
  /** Server time and result storage that the whole load needs, by service. */
  readonly demands: readonly ServiceDemand[];
}

export interface ServiceDemand {
  readonly service: string;
  /** Fraction of the total server time; above 1 exceeds the capacity. */
  readonly time: number;
  /** Fraction of the total storage for results. */
  readonly room: number;
}

/** Finds the shares that maximize the total worth served in one phase. */
export function findMaxServableShares(
  load: StageLoad,
  phase: LoadPhase,
): ServableShares {
  const rates = new Map(
    load.classes.map((requestClass) => [
      requestClass.name,
      requestClass.perSecond * (phase.factors[requestClass.name] ?? 1),
    ]),
  );
  const constraints: Record<string, { max: number }> = {};
  const variables: Record<string, Record<string, number>> = {};
  const demands = load.services.map((service) => {
    constraints[`${service.name}.time`] = { max: 1 };
    constraints[`${service.name}.room`] = { max: 1 };
    return { service: service.name, time: 0, room: 0 };
  });
  let requestedWorth = 0;
  for (const requestClass of load.classes) {
    const rate = rates.get(requestClass.name) ?? 0;
    requestedWorth += rate * requestClass.worth;
    constraints[`${requestClass.name}.share`] = { max: 1 };
    const variable: Record<string, number> = {
      worth: rate * requestClass.worth,
      [`${requestClass.name}.share`]: 1,
    };
    for (const [index, service] of load.services.entries()) {
      const classDemand = computeDemand(requestClass, service, { rate, phase });
      variable[`${service.name}.time`] = classDemand.time;
      variable[`${service.name}.room`] = classDemand.room;
      const demand = demands[index];
      if (demand === undefined) continue;
      demand.time += classDemand.time;
      demand.room += classDemand.room;
    }
    variables[requestClass.name] = variable;
  }
  const solution = solver.Solve({
    optimize: "worth",
    opType: "max",
    constraints,
    variables,
  });
  const shares = new Map(
    load.classes.map(({ name }) => [name, readNumber(solution, name)]),
  );
  const servedWorth = load.classes.reduce(
    (sum, requestClass) =>
      sum +
      (shares.get(requestClass.name) ?? 0) *
        (rates.get(requestClass.name) ?? 0) * requestClass.worth,
    0,
  );
  return {
    shares,
    worthShare: requestedWorth === 0 ? 1 : servedWorth / requestedWorth,
    demands,
  };
}

/** The demand of a class on a service, as fractions of its capacity. */
function computeDemand(
  requestClass: RequestClass,
  service: StageService,
  input: { readonly rate: number; readonly phase: LoadPhase },
): { readonly time: number; readonly room: number } {
  const { rate, phase } = input;
  const servers = service.servers - (phase.lost[service.name] ?? 0);
  const itemTimeMs = service.itemMs + service.callMs / service.maxItems;
  let time = 0;
  let room = 0;
  for (const stage of requestClass.stages) {
    if (stage.service !== service.name) continue;
    const itemsPerSecond = rate * stage.items;
    time += itemsPerSecond * itemTimeMs / MS_PER_SECOND / servers;
    room += itemsPerSecond * stage.heldMs / MS_PER_SECOND *
      stage.resultBytes / (servers * service.resultRoomBytes);
  }
  return { time, room };
}

/** The solver omits variables whose value is 0. */
function readNumber(
  solution: Readonly<Record<string, unknown>>,
  name: string,
): number {
  const value = solution[name];
  return typeof value === "number" ? value : 0;
}

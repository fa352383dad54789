// A process is killed while it relays an answer without a length; see claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  HOST,
  KEY,
  makeConfiguration,
  ModelEngine,
  route,
  serverEntry,
} from "../lib/deployment.mjs";
import { Store } from "../lib/store.mjs";
import {
  hasTrouble,
  runCase,
  sendRequest,
  sleep,
  System,
} from "../lib/system.mjs";

const REQUESTS = 600;
const INTERVAL_MS = 80;
const EVENTS = 40;
const FIRST_KILL_AT_MS = 8000;
const KILL_INTERVAL_MS = 14_000;
/** As on the sheet: half of the engines, 5 in 100 of their answers. */
const ANSWERS_PER_UNFRAMED = 20;
const DOWN_MS = 2000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (record) => {
  const store = new Store();
  await store.listen();
  const configuration = makeConfiguration();
  store.put("config", "main", {
    ...configuration,
    routes: [
      ...configuration.routes.filter(({ name }) => name !== "dossier"),
      route("dossier", {
        "route-kind": "streaming",
        "timeout-ms": 15000,
        "target-latency-ms": 1400,
        "max-attempts": 2,
        "can-resume": true,
      }),
    ],
  });
  const engines = [1, 2, 3, 4].map((n) =>
    new ModelEngine(`i-modello${n}`, record)
  );
  for (const [index, engine] of engines.entries()) {
    engine.events = EVENTS;
    engine.gapMs = 40;
    if (index < 2) engine.answersPerUnframed = ANSWERS_PER_UNFRAMED;
    await engine.listen();
    const entry = serverEntry("modello", engine.port, { slots: 128 });
    store.put("servers", engine.id, entry);
  }
  const system = new System({ record, storeAddress: store.address });
  try {
    await system.addVm("edge-palermo-1", "palermo");
    await system.addVm("edge-palermo-2", "palermo");
    await system.addVm("edge-catania-1", "catania");
    for (const vm of system.vms) await system.waitUntilReady(vm);
    await sleep(4000);
    const requests = [];
    const traffic = { isOver: false };
    const kills = hasTrouble
      ? killInTurn({ system, engines, requests, traffic, record })
      : undefined;
    await sendAll(system, requests, record);
    traffic.isOver = true;
    if (await kills === 0) throw new Error("No process was killed");
    return requests.filter(looksComplete).map(({ id, events }) =>
      `MIXED: ${id} ends like a complete answer after ${events} of ${EVENTS}`
    );
  } finally {
    await system.close();
    store.close();
    for (const engine of engines) engine.close();
  }
});

function looksComplete({ status, signature, isWhole, events }) {
  return status === 200 && signature !== undefined && isWhole &&
    events < EVENTS;
}

/**
 * Kills each process once, while it relays an answer without a length. Returns
 * how many were killed before the traffic ended.
 */
async function killInTurn({ system, engines, requests, traffic, record }) {
  const startedAtMs = performance.now();
  let kills = 0;
  for (const [index, vm] of system.vms.entries()) {
    const killAtMs = startedAtMs + FIRST_KILL_AT_MS + index * KILL_INTERVAL_MS;
    await sleep(killAtMs - performance.now());
    while (!relaysUnframed(vm, engines, requests)) {
      if (traffic.isOver) return kills;
      await sleep(20);
    }
    kills += 1;
    system.signal(vm, "SIGKILL");
    await vm.exit;
    await sleep(DOWN_MS);
    system.start(vm);
    await system.waitUntilReady(vm);
    record.add(`${vm.name} is ready again`);
  }
  return kills;
}

function relaysUnframed(vm, engines, requests) {
  const open = new Set(
    requests.filter((request) => request.vm === vm && !request.isEnded)
      .map(({ id }) => id),
  );
  const nowMs = performance.now();
  return engines.some((engine) =>
    engine.runs.some((run) =>
      run.isUnframed && open.has(run.id) && run.endedAtMs === Infinity &&
      nowMs - run.startedAtMs > 300
    )
  );
}

async function sendAll(system, requests, record) {
  const answers = [];
  for (let n = 1; n <= REQUESTS; n++) {
    const vm = system.vms[n % system.vms.length];
    await sleep(INTERVAL_MS);
    if (vm.hasExited) continue;
    const id = `a${String(n).padStart(5, "0")}`;
    record.add(`client sends ${id} to ${vm.name}`);
    const request = { id, vm, isEnded: false };
    requests.push(request);
    answers.push(
      sendRequest(vm, {
        path: "/dossier/1",
        host: HOST,
        body: Buffer.from(`prompt of ${id}`),
        headers: {
          "api-key": KEY,
          "x-attempt-id": id,
          "x-deadline-ms": "15000",
          "x-model": "m",
          "x-token-counts": "100,240",
          "x-prompt-prefix": `a${n % 9}:50,b${n % 40}:50`,
        },
      }).then(({ status, headers, body, isWhole }) => {
        request.isEnded = true;
        request.status = status;
        request.signature = headers["x-response-signature"];
        request.isWhole = isWhole;
        request.events = body.split("\n\n").length - 1;
        record.add(
          `client gets ${status} for ${id}, ${request.events} events, ` +
            (isWhole ? "ended like a complete answer" : "broken off"),
        );
      }),
    );
  }
  await Promise.all(answers);
}

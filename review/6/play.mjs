/**
 * A machine is partitioned from the store for under two seconds. An engine's
 * entry changes as the partition begins, and is removed while it lasts.
 */

import { call, newAttemptId, sleep } from "../lib-2/calls.mjs";
import {
  ENGINE_PORT,
  entryOf,
  makeConfiguration,
  PLAIN_SERVICE,
  planDeployment,
  startMachines,
  UNSAFE_ROUTE,
  ZONES,
} from "../lib-2/deployment.mjs";
import { Engine } from "../lib-2/engine.mjs";
import { Link } from "../lib-2/network.mjs";
import {
  BROKEN,
  CANNOT_RUN,
  HAS_TROUBLE,
  HELD,
  runPlay,
} from "../lib-2/play.mjs";

/** Bounds of the deployment. */
const DRAIN_MS = 2000;
const STABLE_WINDOW_MS = 3000;
/** For what processes need to notice a change. */
const MARGIN_MS = 500;

const CUT_MS = 1500;
/** From the change of the engine's entry to its removal. */
const CHANGE_TO_REMOVAL_MS = 100;
/** From the removal of its entry until the engine exits. */
const SERVES_ON_MS = 12_000;
const REQUEST_INTERVAL_MS = 50;
const WORK_MS = 60;
/** The store's own listener, behind the link that the machines call. */
const STORE_PORT = 8700;
const REPORTED_EVENTS = /server_(added|ended)|objectsFromPeer|platformLost/;

await runPlay(import.meta.url, play);

async function play({ record, store, system, onEnd }) {
  const { address, machines, storeAddress } = await planDeployment();
  const ownAddress = { host: storeAddress.host, port: STORE_PORT };
  await store.listen(ownAddress);
  const link = new Link({ listen: storeAddress, target: ownAddress });
  await link.open();
  onEnd(() => link.close());

  const engines = [];
  for (const [index, zone] of ZONES.entries()) {
    const engine = new Engine(`i-${zone}`, {
      host: address(index + 101, 1),
      port: ENGINE_PORT,
    }, { record, workMs: WORK_MS });
    await engine.listen();
    onEnd(() => engine.exit());
    engines.push(engine);
    store.put("servers", engine.id, describe(engine, zone));
  }
  store.put(
    "config",
    "main",
    makeConfiguration({ routes: [UNSAFE_ROUTE], services: [PLAIN_SERVICE] }),
  );
  await startMachines(machines, { record, system });

  const [machine] = machines;
  const [leaving] = engines;
  const traffic = startTraffic(machine.front, record);
  await sleep(2000);

  if (HAS_TROUBLE) {
    await nextConfigurationWatch(link, machine);
    link.hold(machine.ip);
    record.add(`${machine.name}: partitioned from the store`);
  }
  const cutAtMs = record.nowMs();
  const changed = describe(leaving, ZONES[0], { "cold-remaining-ms": 1 });
  store.put("servers", leaving.id, changed);
  record.add(`store: the entry of ${leaving.id} has changed`);
  await sleep(CHANGE_TO_REMOVAL_MS);
  store.remove("servers", leaving.id);
  const removedAtMs = record.nowMs();
  record.add(`store: the entry of ${leaving.id} is removed`);
  if (HAS_TROUBLE) {
    await sleep(cutAtMs + CUT_MS - record.nowMs());
    link.release(machine.ip);
    record.add(`${machine.name}: reaches the store again`);
  }
  const healedAtMs = HAS_TROUBLE ? record.nowMs() : cutAtMs;

  await sleep(removedAtMs + SERVES_ON_MS - record.nowMs());
  leaving.exit();
  record.add(`${leaving.id}: exits`);
  await sleep(1000);
  const answers = await traffic.stop();
  for (const line of system.logs.get(machine.name)) {
    if (REPORTED_EVENTS.test(line)) record.add(`${machine.name} logs: ${line}`);
  }
  const judgedFromMs = MARGIN_MS +
    Math.max(removedAtMs + DRAIN_MS, healedAtMs + STABLE_WINDOW_MS);
  return judge(leaving, { answers, judgedFromMs, removedAtMs, record });
}

function describe(engine, zone, changes = {}) {
  return entryOf(engine, { service: "registro", zone, slots: 6, ...changes });
}

/** So that no call of the machine times out before the partition has healed. */
function nextConfigurationWatch(link, machine) {
  return new Promise((resolve) => {
    link.onRequest = (source, text) => {
      if (source !== machine.ip) return;
      if (!text.includes("/api/objects/config?watch=")) return;
      link.onRequest = undefined;
      resolve();
    };
  });
}

function startTraffic(front, record) {
  const answers = [];
  const timer = setInterval(() => {
    const attemptId = newAttemptId();
    void call(front, {
      method: "POST",
      path: "/emissione/1",
      headers: {
        host: "registro.example",
        "x-attempt-id": attemptId,
        "x-deadline-ms": "600",
      },
      body: "bag",
      timeoutMs: 1500,
    }).then((answer) => {
      answers.push({ attemptId, ...answer });
      record.add(`client: ${attemptId} ${answer.status ?? answer.end}`);
    });
  }, REQUEST_INTERVAL_MS);
  return {
    stop: async () => {
      clearInterval(timer);
      await sleep(2000);
      return answers;
    },
  };
}

function judge(leaving, { answers, judgedFromMs, removedAtMs, record }) {
  const before = leaving.runs.filter(({ atMs }) => atMs < removedAtMs);
  const late = leaving.runs.filter(({ atMs }) => atMs > judgedFromMs);
  const lost = answers.filter(({ attemptId, status }) =>
    status !== 200 &&
    late.some((run) => run.attemptId === attemptId && run.end !== "completed")
  );
  const served = answers.filter(({ status }) => status === 200).length;
  record.add(`sent ${answers.length}, answered with 200: ${served}`);
  record.add(
    `${leaving.id} ran ${before.length} requests before its entry was removed`,
  );
  record.add(
    `${leaving.id} ran ${late.length} requests later than drain-ms after the ` +
      "removal, and later than stable-window-ms after the partition",
  );
  for (const { attemptId, status, end } of lost) {
    record.add(`lost at its exit: ${attemptId}, answered ${status ?? end}`);
  }
  if (before.length === 0 || served < answers.length / 2) return CANNOT_RUN;
  return late.length > 0 ? BROKEN : HELD;
}

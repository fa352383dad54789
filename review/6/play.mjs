/**
 * Small engines reject requests while they are full. Three of the five send some
 * of these rejections once more, late: where the response to the next request on
 * the channel is expected.
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
import {
  BROKEN,
  CANNOT_RUN,
  HAS_TROUBLE,
  HELD,
  runPlay,
} from "../lib-2/play.mjs";
import { SheddingEngine } from "../lib-2/shedding_engine.mjs";

/** Of `garble` with `extra late`: engines, answers and length. */
const GARBLING_ENGINES = 3;
const EXTRA_SHARE = 0.03;
const TROUBLE_MS = 5000;

const ENGINES = 5;
const CALM_MS = 1000;
const CLUMP_REQUESTS = 20;
const CLUMP_INTERVAL_MS = 150;
/** They promise that the request hasn't run. */
const PROMISES = [408, 421, 429, 503];

await runPlay(import.meta.url, play);

async function play({ record, store, system, onEnd }) {
  const { address, machines, storeAddress } = await planDeployment();
  await store.listen(storeAddress);
  const engines = [];
  for (let number = 0; number < ENGINES; number++) {
    const zone = number % ZONES.length;
    const engine = new SheddingEngine(`i-${number}`, {
      host: address(101 + zone, 1 + number),
      port: ENGINE_PORT,
    }, { record, slots: 1, queue: 2, workMs: 21 });
    await engine.listen();
    onEnd(() => engine.exit());
    engines.push(engine);
    store.put(
      "servers",
      engine.id,
      entryOf(engine, { service: "registro", zone: ZONES[zone], slots: 1 }),
    );
  }
  store.put(
    "config",
    "main",
    makeConfiguration({ routes: [UNSAFE_ROUTE], services: [PLAIN_SERVICE] }),
  );
  await startMachines(machines, { record, system });

  const answers = [];
  await sendClumps(CALM_MS, machines, { answers, record });
  if (HAS_TROUBLE) {
    for (const engine of engines.slice(0, GARBLING_ENGINES)) {
      engine.extraShare = EXTRA_SHARE;
    }
    record.add(`${GARBLING_ENGINES} engines repeat ${EXTRA_SHARE} of answers`);
  }
  await sendClumps(TROUBLE_MS, machines, { answers, record });
  for (const engine of engines) engine.extraShare = 0;
  record.add("no answer is repeated any more");
  await sleep(2000);
  return judge(engines, { answers, record });
}

async function sendClumps(forMs, machines, { answers, record }) {
  const untilMs = performance.now() + forMs;
  for (let clump = 0; performance.now() < untilMs; clump++) {
    const { front } = machines[clump % machines.length];
    for (let number = 0; number < CLUMP_REQUESTS; number++) {
      void sendUnsafe(front, { answers, record });
    }
    await sleep(CLUMP_INTERVAL_MS);
  }
}

async function sendUnsafe(front, { answers, record }) {
  const attemptId = newAttemptId();
  const answer = await call(front, {
    method: "POST",
    path: "/emissione/1",
    headers: {
      host: "registro.example",
      "x-attempt-id": attemptId,
      "x-deadline-ms": "600",
    },
    body: "bag",
    timeoutMs: 1500,
  });
  answers.push({ attemptId, ...answer });
  record.add(`client: ${attemptId} ${answer.status ?? answer.end}`);
}

function judge(engines, { answers, record }) {
  const runsOf = new Map();
  for (const engine of engines) {
    for (const attemptId of engine.ran) {
      runsOf.set(attemptId, [...runsOf.get(attemptId) ?? [], engine.id]);
    }
    if (!HAS_TROUBLE) continue;
    record.add(
      `${engine.id}: repeated ${engine.extraCount} of ${engine.answerCount} ` +
        "answers",
    );
  }
  const twice = [...runsOf].filter(([, ids]) => ids.length > 1);
  for (const [attemptId, ids] of twice) {
    record.add(`TWICE: ${attemptId} ran at ${ids.join(" and ")}`);
  }
  const refused = answers.filter(({ attemptId, status }) =>
    PROMISES.includes(status) && runsOf.has(attemptId)
  );
  for (const { attemptId, status } of refused) {
    record.add(`REFUSED: ${attemptId} ran and was answered with ${status}`);
  }
  const served = answers.filter(({ status }) => status === 200).length;
  record.add(
    `sent ${answers.length}, answered with 200: ${served}, ran twice: ` +
      `${twice.length}, refused though run: ${refused.length}`,
  );
  if (served < answers.length / 2) return CANNOT_RUN;
  return twice.length > 0 || refused.length > 0 ? BROKEN : HELD;
}

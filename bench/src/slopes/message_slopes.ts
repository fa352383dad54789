/**
 * Measures the bytes of messages between daemons and their processor time over
 * real connections.
 *
 * @module
 */

import { encodeFrame } from "@sassafrasstage/daemon/peers/frame_codec";
import type { RunningPeerNetwork } from "@sassafrasstage/daemon/peers/start_peer_network";
import type {
  PeerMessage,
  PeerMessageType,
} from "@sassafrasstage/protocol/peer_messages";
import { setTimeout as sleep } from "node:timers/promises";
import type { Point } from "./linear_fit.js";
import { startPeerFleet, stopPeerFleet } from "./peer_fleet.js";
import {
  makeHeartbeat,
  makePermitDecision,
  makePermitRelease,
  makePermitRequest,
} from "./sample_messages.js";
import type { SlopeSeries } from "./slope_series.js";

const MESSAGE_COUNTS: readonly number[] = [10_000, 20_000, 40_000];
const POOL_COUNTS: readonly number[] = [0, 1, 4, 16];
const FLEET_SIZES: readonly number[] = [2, 4, 8, 12];
const HEARTBEAT_MEASURED_SECONDS = 4;
const MESSAGES_PER_BATCH = 50;
const US_PER_MS = 1000;

/**
 * Measures permit messages and heartbeats.
 *
 * @example
 * ```ts
 * console.log(formatSlopes(await measureMessageSlopes()));
 * ```
 */
export async function measureMessageSlopes(): Promise<SlopeSeries[]> {
  return [
    measureBytes("permit ask", makePermitRequest),
    measureBytes("permit decision", makePermitDecision),
    measureBytes("permit release", makePermitRelease),
    {
      name: "bytes of a heartbeat",
      unit: "bytes",
      sizeName: "owned pools",
      points: POOL_COUNTS.map((size) => ({
        size,
        value: encodeFrame(makeHeartbeat(size)).length,
      })),
    },
    await measureProcessorTime(
      "ask and decision of a permit",
      (pair) => exchangePermits(pair),
    ),
    await measureProcessorTime(
      "release of a permit",
      (pair) => sendReleases(pair),
    ),
    ...await measureHeartbeats(),
  ];
}

function measureBytes(
  name: string,
  makeMessage: (serial: number) => PeerMessage,
): SlopeSeries {
  return {
    name: `bytes of ${name}`,
    unit: "bytes",
    sizeName: "messages",
    points: MESSAGE_COUNTS.map((size) => {
      let value = 0;
      for (let serial = 0; serial < size; serial += 1) {
        value += encodeFrame(makeMessage(serial)).length;
      }
      return { size, value };
    }),
  };
}

interface PeerPair {
  readonly permitClient: RunningPeerNetwork;
  readonly owner: RunningPeerNetwork;
  readonly count: number;
}

/** Both ends run in this process, so the time includes both. */
async function measureProcessorTime(
  name: string,
  run: (pair: PeerPair) => Promise<void>,
): Promise<SlopeSeries> {
  const fleet = await startPeerFleet(2);
  const [permitClient, owner] = fleet;
  if (permitClient === undefined || owner === undefined) {
    throw new Error("The fleet has fewer than two peers");
  }
  try {
    await run({ permitClient, owner, count: MESSAGE_COUNTS[0] ?? 0 });
    const points: Point[] = [];
    for (const count of MESSAGE_COUNTS) {
      const usageBefore = process.cpuUsage();
      await run({ permitClient, owner, count });
      const usage = process.cpuUsage(usageBefore);
      points.push({ size: count, value: usage.user + usage.system });
    }
    return {
      name: `processor time of ${name}, both ends`,
      unit: "µs",
      sizeName: "messages",
      points,
    };
  } finally {
    await stopPeerFleet(fleet);
  }
}

async function exchangePermits(pair: PeerPair): Promise<void> {
  let serial = 0;
  const stop = pair.owner.messages.on("permitRequest", () => {
    serial += 1;
    pair.owner.send(pair.permitClient.self.vmId, makePermitDecision(serial));
  });
  const all = countMessages(
    pair.permitClient,
    "permitDecision",
    pair.count,
  );
  await sendInBatches(pair, makePermitRequest);
  await all;
  stop();
}

async function sendReleases(pair: PeerPair): Promise<void> {
  const all = countMessages(pair.owner, "permitRelease", pair.count);
  await sendInBatches(pair, makePermitRelease);
  await all;
}

async function sendInBatches(
  { permitClient, owner, count }: PeerPair,
  makeMessage: (serial: number) => PeerMessage,
): Promise<void> {
  for (let serial = 0; serial < count; serial += 1) {
    permitClient.send(owner.self.vmId, makeMessage(serial));
    if (serial % MESSAGES_PER_BATCH === 0) await sleep(0);
  }
}

function countMessages(
  network: RunningPeerNetwork,
  type: PeerMessageType,
  count: number,
): Promise<void> {
  let received = 0;
  return new Promise((resolve) => {
    const stop = network.messages.on(type, () => {
      received += 1;
      if (received < count) return;
      stop();
      resolve();
    });
  });
}

async function measureHeartbeats(): Promise<SlopeSeries[]> {
  const points: Point[] = [];
  for (const size of FLEET_SIZES) {
    const fleet = await startPeerFleet(size);
    const usageBefore = process.cpuUsage();
    await sleep(HEARTBEAT_MEASURED_SECONDS * 1000);
    const usage = process.cpuUsage(usageBefore);
    const totalMs = (usage.user + usage.system) / US_PER_MS;
    points.push({
      size: size - 1,
      value: totalMs / HEARTBEAT_MEASURED_SECONDS / size,
    });
    await stopPeerFleet(fleet);
  }
  return [{
    name: "processor time of heartbeats at 5 a second",
    unit: "ms a second and daemon",
    sizeName: "peers of the data centre",
    points,
  }];
}

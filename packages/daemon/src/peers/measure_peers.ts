/**
 * Benchmarks the CPU and network cost of messages and heartbeats between
 * daemons. Run manually:
 * `node packages/daemon/dist/peers/measure_peers.js`.
 *
 * @module
 */

import type { PeerMessage } from "@sassafrasstage/protocol/peer_messages";
import {
  setImmediate as nextTurn,
  setTimeout as sleep,
} from "node:timers/promises";
import {
  decodePayload,
  encodeFrame,
  FRAME_HEADER_BYTES,
} from "./frame_codec.js";
import { isPeerMessage } from "./message_check.js";
import {
  countOf,
  makePermitRequest,
  startTestVm,
  stateOf,
  type TestVm,
  waitUntil,
} from "./testing/peer_fleet.js";

const MESSAGE_COUNT = 100_000;
/** Numbers of messages that are sent in one turn of the event loop. */
const BATCH_SIZES = [1, 10, 100];
const WARM_UP_ROUNDS = 20_000;
/** Numbers of VMs in one data centre, all connected to each other. */
const FLEET_SIZES = [3, 9, 18, 36];
const IDLE_MS = 5000;

const HEARTBEAT: PeerMessage = {
  type: "heartbeat",
  sequence: 1_000_000,
  generation: 1000,
  leaving: false,
  ownedPools: [
    makePermitRequest("a").permitRequest.pool,
    makePermitRequest("a").permitRequest.pool,
  ],
};

const REPLY: PeerMessage = {
  type: "heartbeatReply",
  sequence: 1_000_000,
  generation: 1000,
  supportedPools: HEARTBEAT.ownedPools,
};

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Measures encoding, decoding and validation, without a socket. */
function measureCodec(name: string, message: PeerMessage): void {
  const frame = encodeFrame(message);
  let startedAt = process.cpuUsage();
  for (let round = 0; round < MESSAGE_COUNT + WARM_UP_ROUNDS; round++) {
    if (round === WARM_UP_ROUNDS) startedAt = process.cpuUsage();
    const payload = encodeFrame(message).subarray(FRAME_HEADER_BYTES);
    isPeerMessage(decodePayload(payload));
  }
  const microseconds = cpuMicrosecondsSince(startedAt) / MESSAGE_COUNT;
  print(
    `codec message=${name} bytes=${frame.length} ` +
      `cpuMicroseconds=${microseconds.toFixed(2)}`,
  );
}

/** Measures the path from `send` to the listener, both ends in this process. */
async function measureSend(batchSize: number): Promise<void> {
  const b = await startTestVm({ vmId: "vm-b", heartbeatTimeoutMs: 10_000 });
  const a = await startTestVm({
    vmId: "vm-a",
    heartbeatTimeoutMs: 10_000,
    seeds: [{ vmId: "vm-b", address: b.network.address }],
  });
  await waitUntil(() => stateOf(a, "vm-b") === "live", "vm-b is live at vm-a");
  let received = 0;
  b.network.messages.on("permitRequest", () => {
    received++;
  });
  const permitRequest = makePermitRequest("attempt-0123456789");
  const startedAt = process.cpuUsage();
  for (let sent = 0; sent < MESSAGE_COUNT; sent += batchSize) {
    for (let index = 0; index < batchSize; index++) {
      a.network.send(b.vmId, permitRequest);
    }
    await nextTurn();
  }
  await waitUntil(() => received >= MESSAGE_COUNT, "all messages are received");
  const microseconds = cpuMicrosecondsSince(startedAt) / MESSAGE_COUNT;
  print(
    `send messagesInOneTurn=${batchSize} ` +
      `cpuMicrosecondsBothEnds=${microseconds.toFixed(2)}`,
  );
  await Promise.all([a.network.close(), b.network.close()]);
}

/** Measures heartbeats at the default interval, all VMs in this process. */
async function measureIdle(vmCount: number): Promise<void> {
  const vms: TestVm[] = [];
  for (let index = 0; index < vmCount; index++) {
    vms.push(
      await startTestVm({
        vmId: `vm-${index}`,
        heartbeatIntervalMs: 200,
        heartbeatTimeoutMs: 1000,
        seeds: vms.map((vm) => ({
          vmId: vm.vmId,
          address: vm.network.address,
        })),
      }),
    );
  }
  await waitUntil(
    () => vms.every(seesAllMembersLive),
    "all VMs see each other as live",
  );
  const bytesBefore = await countSentBytes(vms);
  const startedAt = process.cpuUsage();
  await sleep(IDLE_MS);
  const cpuMs = cpuMicrosecondsSince(startedAt) / 1000;
  const bytes = await countSentBytes(vms) - bytesBefore;
  const seconds = IDLE_MS / 1000;
  print(
    `idle vms=${vmCount} bytesPerSecondPerVm=${
      (bytes / seconds / vmCount).toFixed(0)
    } cpuPercentOfACorePerVm=${(cpuMs / IDLE_MS / vmCount * 100).toFixed(2)}`,
  );
  await Promise.all(vms.map((vm) => vm.network.close()));
}

function seesAllMembersLive(vm: TestVm): boolean {
  const { members } = vm.network.view(performance.now());
  return members.every((member) => member.state === "live");
}

async function countSentBytes(vms: readonly TestVm[]): Promise<number> {
  const counts = await Promise.all(
    vms.map((vm) => countOf(vm, "events_total", "peerBytesSent")),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}

function cpuMicrosecondsSince(startedAt: NodeJS.CpuUsage): number {
  const used = process.cpuUsage(startedAt);
  return used.user + used.system;
}

measureCodec("heartbeat", HEARTBEAT);
measureCodec("heartbeatReply", REPLY);
measureCodec("heartbeatWithoutPools", { ...HEARTBEAT, ownedPools: [] });
measureCodec("permitRequest", makePermitRequest("attempt-0123456789"));
for (const batchSize of BATCH_SIZES) await measureSend(batchSize);
for (const vmCount of FLEET_SIZES) await measureIdle(vmCount);

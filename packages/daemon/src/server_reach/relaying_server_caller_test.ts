import {
  type AttemptId,
  type BackendServerId,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { MONOTONIC_CLOCK } from "../clock.js";
import type {
  ResponseHead,
  ServerCall,
  ServerCaller,
  ServerCallFailure,
  ServerCallListener,
} from "../forwarding/server_caller.js";
import {
  makeRoutedRequest,
  RecordingLogger,
  SAMPLE_HEAD,
} from "../forwarding/testing/sample_forwarding.js";
import { Metrics } from "../observability/metrics.js";
import { ServerNotices } from "../register/server_notices.js";
import { ServerRegister } from "../register/server_register.js";
import { LinkedVm, setLinked } from "../stage_graphs/testing/linked_vms.js";
import { makeReport } from "../testing/stage_samples.js";
import { RelayedCallClient } from "./relayed_call_client.js";
import {
  MAX_RELAYED_CALLS_PER_VM,
  MAX_RELAYED_CHUNK_BYTES,
  RELAY_WINDOW_BYTES,
} from "./relayed_call_limits.js";
import { RelayedCallServer } from "./relayed_call_server.js";
import { RelayingServerCaller } from "./relaying_server_caller.js";
import { RelayPeers } from "./relay_peers.js";
import { ServerReach } from "./server_reach.js";

const SETTLE_MS = 20;
const SERVER_ID = toId<BackendServerId>("engine-1");
const BODY_BYTES = 3 * MAX_RELAYED_CHUNK_BYTES + 5;
const HEAD: ResponseHead = {
  ...SAMPLE_HEAD,
  headers: [["x-sample", "value"]],
};

interface DirectCall {
  readonly call: ServerCall;
  readonly listener: ServerCallListener;
  isCanceled: boolean;
}

/** Records the calls that a VM makes on connections of its own. */
class RecordingCaller implements ServerCaller {
  readonly calls: DirectCall[] = [];
  /** Makes each call fail without a connection. */
  isCutOff = false;

  start(call: ServerCall, listener: ServerCallListener) {
    const direct: DirectCall = { call, listener, isCanceled: false };
    this.calls.push(direct);
    if (this.isCutOff) {
      setImmediate(() => {
        listener.onFailure({
          kind: "notSent",
          detail: "ECONNREFUSED",
          isConnectionFailure: true,
        });
      });
    }
    return {
      cancel: () => {
        direct.isCanceled = true;
      },
      cancelIfNotSent: () => false,
    };
  }
}

/** What the owner of the request learns of its call. */
class RecordingListener implements ServerCallListener {
  readonly heads: ResponseHead[] = [];
  readonly chunks: Buffer[] = [];
  readonly failures: ServerCallFailure[] = [];
  sentCount = 0;
  endCount = 0;

  readonly onSend = (): void => {
    this.sentCount += 1;
  };
  readonly onHead = (head: ResponseHead): void => {
    this.heads.push(head);
  };
  readonly onBody = (chunk: Buffer): void => {
    this.chunks.push(chunk);
  };
  readonly onEnd = (): void => {
    this.endCount += 1;
  };
  readonly onFailure = (failure: ServerCallFailure): void => {
    this.failures.push(failure);
  };

  get body(): Buffer {
    return Buffer.concat(this.chunks);
  }
}

function makeVm(network: LinkedVm) {
  const state = { isLeaving: false, unreachedByPeer: 0 };
  const clock = MONOTONIC_CLOCK;
  const metrics = new Metrics();
  const logger = new RecordingLogger();
  const register = new ServerRegister(() => undefined);
  register.apply(makeReport(SERVER_ID), 0);
  const reach = new ServerReach({
    register,
    clock,
    metrics,
    logger,
    onSuspected: () => undefined,
    onCutOff: () => undefined,
    onReturned: () => undefined,
    onCutOffServicesChanged: () => undefined,
  });
  const direct = new RecordingCaller();
  const peers = new RelayPeers({ network, clock, random: () => 0 });
  const relayedCalls = new RelayedCallServer({
    network,
    register,
    reach,
    caller: direct,
    serverNotices: new ServerNotices({ register, clock, metrics, logger }),
    connectionShare: () => 4,
    isLeaving: () => state.isLeaving,
    clock,
    metrics,
    logger,
  });
  const caller = new RelayingServerCaller({
    direct,
    relay: new RelayedCallClient({ network, peers, metrics, logger }),
    peers,
    reach,
    clock,
    random: () => 0,
    onUnreachedByPeer: () => {
      state.unreachedByPeer += 1;
    },
  });
  return { state, relayedCalls, network, register, reach, direct, caller };
}

describe("RelayingServerCaller", () => {
  let owner: ReturnType<typeof makeVm>;
  let peer: ReturnType<typeof makeVm>;
  let listener: RecordingListener;

  beforeEach(() => {
    const networks = [new LinkedVm("vm-1"), new LinkedVm("vm-2")] as const;
    networks[0].other = networks[1];
    networks[1].other = networks[0];
    owner = makeVm(networks[0]);
    peer = makeVm(networks[1]);
    listener = new RecordingListener();
  });

  function registeredServer() {
    const server = owner.register.get(SERVER_ID);
    if (server === undefined) throw new Error("The server isn't registered");
    return server;
  }

  function cutOff(vm: ReturnType<typeof makeVm>): void {
    vm.direct.isCutOff = true;
    vm.reach.recordFailedConnection(registeredServer(), "ECONNREFUSED");
    vm.reach.recordCutOff(registeredServer(), undefined);
  }

  function start(bodyBytes = 0, attempt = "attempt-1") {
    return owner.caller.start({
      server: registeredServer(),
      request: makeRoutedRequest("/draft/1", {
        attemptId: toId<AttemptId>(attempt),
        body: Buffer.alloc(bodyBytes, "b"),
      }),
      connectionShare: 4,
      maySend: () => true,
      remainingMs: 5000,
      account: undefined,
      inputs: ["10.0.0.1:1/r1"],
      resumeAfter: "7",
    }, listener);
  }

  function madeCall(n = 0): DirectCall {
    const call = peer.direct.calls[n];
    if (call === undefined) throw new Error("The peer has made no call");
    return call;
  }

  async function startAtPeer(bodyBytes = 0): Promise<DirectCall> {
    cutOff(owner);
    start(bodyBytes);
    await sleep(SETTLE_MS);
    return madeCall();
  }

  it("calls a server directly that this VM reaches", async () => {
    start();
    await sleep(SETTLE_MS);
    expect(owner.direct.calls.length).toEqual(1);
    expect(peer.direct.calls.length).toEqual(0);
  });

  it("lets a peer make the call to a server that this VM is cut off from", async () => {
    const { call, listener: made } = await startAtPeer(BODY_BYTES);
    expect(owner.direct.calls.length).toEqual(0);
    expect(call.request.body.length).toEqual(BODY_BYTES);
    expect(call.inputs).toEqual(["10.0.0.1:1/r1"]);
    expect(call.resumeAfter).toEqual("7");
    expect(call.remainingMs > 4500 && call.remainingMs <= 5000).toEqual(true);
    made.onSend();
    made.onHead(HEAD);
    made.onBody(Buffer.alloc(BODY_BYTES, "r"));
    made.onEnd();
    await sleep(SETTLE_MS);
    expect(listener.sentCount).toEqual(1);
    expect(listener.heads).toEqual([HEAD]);
    expect(listener.body).toEqual(Buffer.alloc(BODY_BYTES, "r"));
    expect(listener.endCount).toEqual(1);
    expect(listener.failures).toEqual([]);
  });

  it("hands over the call that finds out about the cut", async () => {
    owner.direct.isCutOff = true;
    owner.reach.recordFailedConnection(registeredServer(), "ECONNREFUSED");
    start();
    await sleep(SETTLE_MS);
    expect(owner.direct.calls.length).toEqual(1);
    expect(peer.direct.calls.length).toEqual(1);
    expect(listener.failures).toEqual([]);
  });

  it("makes no hop beyond the peer", async () => {
    cutOff(owner);
    cutOff(peer);
    start();
    await sleep(SETTLE_MS);
    expect(peer.direct.calls.length).toEqual(0);
    expect(listener.failures.map(({ kind }) => kind)).toEqual(["notSent"]);
  });

  it("asks nothing of a VM that doesn't relay calls", async () => {
    peer.network.relaysCalls = false;
    cutOff(owner);
    start();
    await sleep(SETTLE_MS);
    expect(owner.network.sent).toEqual([]);
    expect(listener.failures.map(({ kind }) => kind)).toEqual(["notSent"]);
  });

  it("says that a request isn't sent if the peer may not send it", async () => {
    const server = registeredServer();
    peer.register.pause(
      peer.register.get(server.id) ?? server,
      MONOTONIC_CLOCK.nowMs() + 5000,
    );
    cutOff(owner);
    start();
    await sleep(SETTLE_MS);
    expect(peer.direct.calls.length).toEqual(0);
    expect(listener.failures.map(({ kind }) => kind)).toEqual(["notSent"]);
  });

  it("says that a request may have run if the connection to the peer ends", async () => {
    const made = await startAtPeer();
    made.listener.onSend();
    await setLinked([owner.network, peer.network], false);
    await sleep(SETTLE_MS);
    expect(listener.failures.map(({ kind }) => kind)).toEqual(["broken"]);
    expect(made.isCanceled).toEqual(true);
  });

  it("doesn't take up a call again after the connection came back", async () => {
    const made = await startAtPeer();
    await setLinked([owner.network, peer.network], false);
    await setLinked([owner.network, peer.network], true);
    made.listener.onHead(HEAD);
    made.listener.onEnd();
    await sleep(SETTLE_MS);
    expect(listener.heads).toEqual([]);
    expect(listener.endCount).toEqual(0);
    expect(listener.failures.length).toEqual(1);
  });

  it("cancels the call at the peer", async () => {
    cutOff(owner);
    const running = start();
    await sleep(SETTLE_MS);
    running.cancel();
    await sleep(SETTLE_MS);
    expect(madeCall().isCanceled).toEqual(true);
    expect(listener.failures).toEqual([]);
  });

  it("takes what the response says about the server at the peer too", async () => {
    const made = await startAtPeer();
    made.listener.onHead({
      ...HEAD,
      status: 503,
      isNotRun: true,
      notice: {
        isLeaving: false,
        pause: { kind: "requested", durationMs: 3000 },
      },
    });
    const server = peer.register.get(SERVER_ID);
    expect(server !== undefined && peer.register.isPaused(server))
      .toEqual(true);
  });

  // Guards against a peer of an older build passing on a response without a
  // status of HTTP, which the client got as an answer.
  it("takes no response with an invalid status from the peer", async () => {
    const made = await startAtPeer();
    made.listener.onHead({ ...HEAD, status: 600 });
    await sleep(SETTLE_MS);
    expect(listener.heads).toEqual([]);
    expect(listener.failures.map(({ kind }) => kind)).toEqual(["broken"]);
    expect(madeCall().isCanceled).toEqual(true);
  });

  it("takes the load that a response states at the owner too", async () => {
    const made = await startAtPeer();
    const load = {
      kind: "stated" as const,
      load: { running: 3, waiting: 1, slots: 4, slowdown: 1.5 },
    };
    made.listener.onHead({ ...HEAD, load });
    await sleep(SETTLE_MS);
    expect(listener.heads[0]?.load).toEqual(load);
  });

  it("refuses calls beyond the limit of a VM at once", async () => {
    cutOff(owner);
    for (let n = 0; n <= MAX_RELAYED_CALLS_PER_VM; n++) {
      start(0, `attempt-${n}`);
    }
    await sleep(SETTLE_MS);
    expect(peer.direct.calls.length).toEqual(MAX_RELAYED_CALLS_PER_VM);
    expect(listener.failures.map(({ kind }) => kind)).toEqual(["notSent"]);
  });

  it("sends no more of a response than the owner has taken", async () => {
    const made = await startAtPeer();
    const sentBefore = peer.network.sent.length;
    // The owner's acknowledgements are lost.
    owner.network.isLinked = false;
    made.listener.onHead(HEAD);
    made.listener.onBody(Buffer.alloc(10 * RELAY_WINDOW_BYTES, "r"));
    made.listener.onEnd();
    await sleep(SETTLE_MS);
    expect(listener.body.length >= RELAY_WINDOW_BYTES).toEqual(true);
    expect(
      listener.body.length < RELAY_WINDOW_BYTES + MAX_RELAYED_CHUNK_BYTES,
    ).toEqual(true);
    expect(listener.endCount).toEqual(0);
    expect(peer.network.sent.length > sentBefore).toEqual(true);
  });

  it("checks a server again that the peer doesn't reach either", async () => {
    peer.direct.isCutOff = true;
    await startAtPeer();
    expect(owner.state.unreachedByPeer).toEqual(1);
    expect(listener.failures.map(({ kind }) => kind)).toEqual(["notSent"]);
  });

  it("takes no new calls in a shutdown, and ends those in progress", async () => {
    const made = await startAtPeer();
    peer.state.isLeaving = true;
    start(0, "attempt-2");
    await sleep(SETTLE_MS);
    expect(peer.direct.calls.length).toEqual(1);
    expect(listener.failures.map(({ kind }) => kind)).toEqual(["notSent"]);
    expect(peer.relayedCalls.runCount).toEqual(1);
    made.listener.onHead(HEAD);
    made.listener.onEnd();
    await sleep(SETTLE_MS);
    expect(listener.endCount).toEqual(1);
    expect(peer.relayedCalls.runCount).toEqual(0);
  });

  it("takes no event of a call from another VM", async () => {
    await startAtPeer();
    void owner.network.messages.emit("serverCallEvent", {
      from: { ...peer.network.self, vmId: toId<VmId>("vm-9") },
      message: {
        type: "serverCallEvent",
        callNumber: 1,
        event: { kind: "ended" },
      },
    });
    await sleep(SETTLE_MS);
    expect(listener.endCount).toEqual(0);
  });
});

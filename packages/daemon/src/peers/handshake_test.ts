import {
  type DataCentreName,
  type Incarnation,
  toId,
  type VmId,
} from "@sassafrasstage/protocol/ids";
import { expect } from "earl";
import { once } from "node:events";
import { connect, createServer, type Server } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { FrameChannel } from "./frame_channel.js";
import { encodeFrame } from "./frame_codec.js";
import {
  acceptHandshake,
  dialHandshake,
  type HandshakeOptions,
} from "./handshake.js";
import { PeerError } from "./peer_error.js";

let server: Server;
const channels: FrameChannel[] = [];

beforeEach(async () => {
  server = createServer();
  server.listen({ host: "127.0.0.1", port: 0 });
  await once(server, "listening");
});

afterEach(() => {
  for (const channel of channels.splice(0)) {
    channel.destroy(new PeerError("connectionClosed", "The test is over"));
  }
  server.close();
});

interface ChannelPair {
  readonly dialer: FrameChannel;
  readonly acceptor: FrameChannel;
}

async function openPair(): Promise<ChannelPair> {
  const bound = server.address();
  if (bound === null || typeof bound === "string") throw new TypeError();
  const accepted = once(server, "connection");
  const options = { maxBufferedBytes: 1000 };
  const dialer = new FrameChannel(
    connect({ host: "127.0.0.1", port: bound.port }),
    options,
  );
  const [socket] = await accepted as [
    ConstructorParameters<
      typeof FrameChannel
    >[0],
  ];
  const acceptor = new FrameChannel(socket, options);
  channels.push(dialer, acceptor);
  return { dialer, acceptor };
}

function handshakeOptionsOf(
  vmId: string,
  sharedKey = "the shared key",
): HandshakeOptions {
  return {
    sharedKey,
    generation: 3,
    self: {
      vmId: toId<VmId>(vmId),
      incarnation: toId<Incarnation>("incarnation-1"),
      dataCentre: toId<DataCentreName>("palermo"),
    },
  };
}

async function errorKindOf(result: Promise<unknown>): Promise<string> {
  try {
    await result;
    return "accepted";
  } catch (error) {
    return error instanceof PeerError ? error.kind : String(error);
  }
}

const expectedVmId = toId<VmId>("vm-b");

describe("handshake", () => {
  it("authenticates both sides", async () => {
    const { dialer, acceptor } = await openPair();
    const [b, a] = await Promise.all([
      dialHandshake(dialer, { ...handshakeOptionsOf("vm-a"), expectedVmId }),
      acceptHandshake(acceptor, handshakeOptionsOf("vm-b")),
    ]);
    expect(a).toEqual({
      identity: handshakeOptionsOf("vm-a").self,
      generation: 3,
    });
    expect(b.identity.vmId).toEqual(expectedVmId);
  });

  it("rejects a wrong shared key on the accepting side", async () => {
    const { dialer, acceptor } = await openPair();
    const dialing = errorKindOf(
      dialHandshake(dialer, {
        ...handshakeOptionsOf("vm-a", "wrong"),
        expectedVmId,
      }),
    );
    expect(
      await errorKindOf(acceptHandshake(acceptor, handshakeOptionsOf("vm-b"))),
    )
      .toEqual("wrongSharedKey");
    acceptor.end();
    expect(await dialing).toEqual("connectionClosed");
  });

  it("rejects a hello that is reflected to its sender", async () => {
    const { dialer, acceptor } = await openPair();
    const dialing = errorKindOf(
      dialHandshake(dialer, { ...handshakeOptionsOf("vm-a"), expectedVmId }),
    );
    acceptor.send(encodeFrame({ type: "challenge", nonce: "n".repeat(32) }));
    const hello = await acceptor.receive();
    acceptor.send(encodeFrame(hello));
    expect(await dialing).toEqual("wrongSharedKey");
  });

  it("rejects a proof that was made for another VM", async () => {
    const toAttacker = await openPair();
    const toVictim = await openPair();
    void errorKindOf(
      dialHandshake(toAttacker.dialer, {
        ...handshakeOptionsOf("vm-a"),
        expectedVmId: toId<VmId>("vm-c"),
      }),
    );
    const victim = errorKindOf(
      acceptHandshake(toVictim.acceptor, handshakeOptionsOf("vm-b")),
    );
    toAttacker.acceptor.send(encodeFrame(await toVictim.dialer.receive()));
    toVictim.dialer.send(encodeFrame(await toAttacker.acceptor.receive()));
    expect(await victim).toEqual("wrongSharedKey");
  });

  it("rejects a replayed proof", async () => {
    const first = await openPair();
    const accepted = errorKindOf(
      acceptHandshake(first.acceptor, handshakeOptionsOf("vm-b")),
    );
    const recorder = await openPair();
    void errorKindOf(
      dialHandshake(recorder.dialer, {
        ...handshakeOptionsOf("vm-a"),
        expectedVmId,
      }),
    );
    recorder.acceptor.send(encodeFrame(await first.dialer.receive()));
    const hello = await recorder.acceptor.receive();
    first.dialer.send(encodeFrame(hello));
    expect(await accepted).toEqual("accepted");
    const second = await openPair();
    second.dialer.send(encodeFrame(hello));
    expect(
      await errorKindOf(
        acceptHandshake(second.acceptor, handshakeOptionsOf("vm-b")),
      ),
    )
      .toEqual("wrongSharedKey");
  });

  it("rejects an oversized frame before authentication", async () => {
    const { dialer, acceptor } = await openPair();
    dialer.send(encodeFrame({ type: "hello", vmId: "x".repeat(5000) }));
    expect(
      await errorKindOf(acceptHandshake(acceptor, handshakeOptionsOf("vm-b"))),
    )
      .toEqual("badFrame");
  });
});

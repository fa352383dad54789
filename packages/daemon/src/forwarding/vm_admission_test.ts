import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { OverloadPolicy } from "../overload/overload_policy.js";
import { RequestForwarder } from "./request_forwarder.js";
import {
  makeForwardEnvironment,
  makeRoutedRequest,
  makeSampleRoute,
  makeSampleTable,
  RecordingChannel,
  RecordingLogger,
} from "./testing/sample_forwarding.js";
import { VmAdmission } from "./vm_admission.js";

const ROUTES = makeSampleTable([
  makeSampleRoute("issue", { kind: "nonIdempotent" }),
]);
/** More than the VM carries within the deadline of the sample route. */
const REQUEST_COUNT = 400;

interface Run {
  readonly channels: readonly RecordingChannel[];
  readonly logger: RecordingLogger;
  readonly admission: VmAdmission;
  readonly calls: () => number;
}

/** Forwards many requests in one turn on a VM with a lag of a second. */
async function forwardMany(policy: OverloadPolicy): Promise<Run> {
  const logger = new RecordingLogger();
  let calls = 0;
  const environment = makeForwardEnvironment({
    logger,
    serverCaller: {
      start: () => {
        calls += 1;
        return { cancel: () => undefined, cancelIfNotSent: () => true };
      },
    },
  });
  const { clock, metrics } = environment;
  const admission = new VmAdmission({
    policy,
    processorCores: 0.000_01,
    sampleIntervalMs: 250,
    usedMs: () => 0,
    clock,
    metrics,
    logger,
  });
  const nowMs = clock.nowMs();
  admission.recordDelay(1000, nowMs - 250);
  admission.recordDelay(1000, nowMs);
  const forwarder = new RequestForwarder({
    environment,
    table: () => ROUTES,
    configurationAgeMs: () => 0,
    shutdown: () => undefined,
    vmAdmission: admission,
  });
  const channels = Array.from({ length: REQUEST_COUNT }, () => {
    const channel = new RecordingChannel();
    void forwarder.forward(makeRoutedRequest("/issue/1"), channel);
    return channel;
  });
  await sleep(100);
  forwarder.endAllRequests();
  return { channels, logger, admission, calls: () => calls };
}

describe("admission by the lag of the VM", () => {
  it("refuses as not run, before any call, what can't be carried", async () => {
    const run = await forwardMany(new OverloadPolicy("callerCost"));
    const lines = run.logger.events
      .filter(({ event }) => event === "requestRefusedForLag");
    const refused = run.channels.filter(({ replies: [reply] }) =>
      reply?.kind === "refused" && reply.reason === "overloaded"
    );
    expect(refused.length > 0).toEqual(true);
    // One line for each refusal, with its inputs.
    expect(lines.length).toEqual(refused.length);
    expect(lines[0]?.fields["lagMs"]).toEqual(1000);
    expect(run.calls() + refused.length <= REQUEST_COUNT).toEqual(true);
    for (const { replies } of refused) {
      expect(replies.length).toEqual(1);
    }
  });

  it("changes nothing with the policy legacy", async () => {
    const run = await forwardMany(new OverloadPolicy());
    expect(run.calls()).toEqual(REQUEST_COUNT);
  });

  /** It refuses requests that would be served late; operators decide on that. */
  it("isn't enabled by what servers state", async () => {
    const policy = new OverloadPolicy();
    policy.recordStatedWorkTime("server");
    const run = await forwardMany(policy);
    expect(run.admission.isEnabled).toEqual(false);
    expect(run.calls()).toEqual(REQUEST_COUNT);
  });
});

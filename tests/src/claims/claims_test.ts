import {
  type Cluster,
  startCluster,
} from "@sassafrasstage/stand-ins/cluster/cluster";
import { expect } from "earl";
import { after, afterEach, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  answerOrReason,
  CLAIMS_PLAN,
  countRuns,
  requestCertificate,
  waitUntil,
  waitUntilRunning,
  WORK_MS,
} from "./claims_cluster.js";

const VMS = ["vm-palermo-1", "vm-palermo-2", "vm-catania-1"] as const;
const [FIRST, SECOND, REMOTE] = VMS;
/** Limits how long a repeated request waits for a holder that can't answer. */
const SHORT_DEADLINE_MS = 1500;

let cluster: Cluster;

before(async () => {
  cluster = await startCluster(CLAIMS_PLAN);
  // An answered request shows that permits are being granted.
  await waitUntil(
    async () =>
      (await requestCertificate(cluster, FIRST, { marker: "warm-up" })).kind ===
        "answer",
    "the registry answers",
  );
});

after(async () => {
  await cluster.stop();
});

afterEach(async () => {
  cluster.heal();
  await cluster.platform.setFaults({
    isDown: false,
    slowMs: 0,
    lostAnswers: 0,
    lostAnswerRatio: 0,
  });
  await cluster.startDaemons();
  await cluster.waitUntilReady();
});

describe("a non-idempotent request with an Idempotency-Key", () => {
  it("runs once when several VMs receive its key at the same time", async () => {
    const key = "at-once";
    const results = await Promise.all(
      [...VMS, ...VMS, ...VMS].map((vmId) =>
        requestCertificate(cluster, vmId, { key, marker: key })
      ),
    );
    expect(await countRuns(cluster, key)).toEqual(1);
    expect(new Set(results.map(answerOrReason)).size).toEqual(1);
    expect(results.map((result) => result.kind)).toEqual(
      Array.from(results, () => "answer" as const),
    );
  });

  it("is refused when its key was used with other content", async () => {
    const key = "other-content";
    await requestCertificate(cluster, FIRST, { key, marker: key });
    for (const vmId of VMS) {
      const other = await requestCertificate(cluster, vmId, {
        key,
        marker: "changed",
      });
      expect(answerOrReason(other)).toEqual("keyReusedWithOtherContent");
    }
    expect(await countRuns(cluster, "changed")).toEqual(0);
  });

  it("is answered in full when it is repeated after its caller disconnected", async () => {
    const key = "caller-gone";
    const caller = new AbortController();
    const first = requestCertificate(cluster, FIRST, {
      key,
      marker: key,
      signal: caller.signal,
    });
    await waitUntilRunning(cluster, key);
    caller.abort();
    expect((await first).kind).toEqual("broken");
    const repeats = [];
    for (const vmId of VMS) {
      repeats.push(
        await requestCertificate(cluster, vmId, { key, marker: key }),
      );
    }
    expect(repeats.map((result) => result.kind))
      .toEqual(["answer", "answer", "answer"]);
    expect(new Set(repeats.map(answerOrReason)).size).toEqual(1);
    expect(await countRuns(cluster, key)).toEqual(1);
  });

  it("runs once when responses of the platform are lost", async () => {
    await cluster.platform.setFaults({ lostAnswerRatio: 0.4 });
    const keys = Array.from({ length: 12 }, (_, index) => `lost-${index}`);
    await Promise.all(keys.map(async (key) => {
      const results = await Promise.all(
        VMS.map((vmId) =>
          requestCertificate(cluster, vmId, { key, marker: key })
        ),
      );
      const answers = results.filter((result) => result.kind === "answer");
      expect(new Set(answers.map(answerOrReason)).size).toEqual(1);
    }));
    const runs = await Promise.all(
      keys.map((key) => countRuns(cluster, key)),
    );
    expect(runs).toEqual(keys.map(() => 1));
  });

  it("isn't run by a daemon that is killed before the claim is made", async () => {
    const key = "killed-claiming";
    await cluster.platform.setFaults({ slowMs: 600 });
    const first = requestCertificate(cluster, FIRST, { key, marker: key });
    await sleep(200);
    await cluster.daemon(FIRST).kill();
    expect((await first).kind).toEqual("broken");
    await cluster.platform.setFaults({ slowMs: 0 });
    const repeat = await requestCertificate(cluster, SECOND, {
      key,
      marker: key,
    });
    const runs = await countRuns(cluster, key);
    expect(runs).toEqual(repeat.kind === "answer" ? 1 : 0);
  });

  it("isn't run again when its daemon is killed before the call arrives", async () => {
    const key = "killed-sending";
    for (const server of cluster.serversOf("registry")) {
      cluster.network.setLink(FIRST, {
        target: server.id,
        mode: { kind: "freeze" },
      });
    }
    const first = requestCertificate(cluster, FIRST, { key, marker: key });
    await sleep(SHORT_DEADLINE_MS);
    await cluster.daemon(FIRST).kill();
    await first;
    cluster.heal();
    // The delayed bytes may arrive now, so the call runs once or not at all.
    const repeat = await requestCertificate(cluster, SECOND, {
      key,
      marker: key,
    });
    if (repeat.kind !== "problem") throw new Error(repeat.kind);
    expect(repeat.problem.reason).toEqual("outcomeUnknown");
    expect(repeat.problem.notRun).toEqual(false);
    await sleep(WORK_MS);
    expect(await countRuns(cluster, key)).toBeLessThanOrEqual(1);
  });

  it("isn't run again when its daemon is killed before the answer", async () => {
    const key = "killed-running";
    const first = requestCertificate(cluster, FIRST, { key, marker: key });
    await waitUntilRunning(cluster, key);
    await cluster.daemon(FIRST).kill();
    expect((await first).kind).toEqual("broken");
    expect(
      answerOrReason(
        await requestCertificate(cluster, SECOND, { key, marker: key }),
      ),
    )
      .toEqual("outcomeUnknown");
    await cluster.startDaemons();
    await cluster.waitUntilReady();
    expect(
      answerOrReason(
        await requestCertificate(cluster, FIRST, { key, marker: key }),
      ),
    )
      .toEqual("outcomeUnknown");
    expect(await countRuns(cluster, key)).toEqual(1);
  });

  it("is refused as not run during a platform outage, and runs after it", async () => {
    const key = "outage-before";
    await cluster.platform.setFaults({ isDown: true });
    const refused = await requestCertificate(cluster, FIRST, {
      key,
      marker: key,
    });
    if (refused.kind !== "problem") throw new Error(refused.kind);
    expect(refused.problem.reason).toEqual("claimsUnavailable");
    expect(refused.problem.notRun).toEqual(true);
    expect(await countRuns(cluster, key)).toEqual(0);
    const unkeyed = await requestCertificate(cluster, FIRST, {
      marker: "no-key",
    });
    expect(unkeyed.kind).toEqual("answer");
    await cluster.platform.setFaults({ isDown: false });
    await waitUntil(
      async () =>
        (await requestCertificate(cluster, SECOND, { key, marker: key }))
          .kind === "answer",
      "it runs after the outage",
    );
    expect(await countRuns(cluster, key)).toEqual(1);
  });

  it("isn't run when its deadline passes while the platform is slow", async () => {
    const key = "slow-platform";
    await cluster.platform.setFaults({ slowMs: 900 });
    const refused = await Promise.all(
      VMS.map((vmId) =>
        requestCertificate(cluster, vmId, { key, marker: key, deadlineMs: 700 })
      ),
    );
    for (const result of refused) {
      if (result.kind !== "problem") throw new Error(result.kind);
      expect(result.problem.notRun).toEqual(true);
    }
    // A claim that is committed late must neither run nor block the key.
    await cluster.platform.setFaults({ slowMs: 0 });
    await sleep(1000);
    expect(await countRuns(cluster, key)).toEqual(0);
    const repeat = await requestCertificate(cluster, REMOTE, {
      key,
      marker: key,
    });
    expect(repeat.kind).toEqual("answer");
    expect(await countRuns(cluster, key)).toEqual(1);
  });

  it("is answered during a platform outage that began after its claim", async () => {
    const key = "outage-during";
    const first = requestCertificate(cluster, FIRST, { key, marker: key });
    await waitUntilRunning(cluster, key);
    await cluster.platform.setFaults({ isDown: true });
    const answer = await first;
    expect(answer.kind).toEqual("answer");
    await sleep(WORK_MS);
    await cluster.platform.setFaults({ isDown: false });
    const repeat = await requestCertificate(cluster, REMOTE, {
      key,
      marker: key,
    });
    expect(answerOrReason(repeat)).toEqual(answerOrReason(answer));
    expect(await countRuns(cluster, key)).toEqual(1);
  });

  it("is claimed through a peer while its data centre can't reach the platform", async () => {
    cluster.cutFromPlatform("catania");
    const key = "relayed";
    const first = await requestCertificate(cluster, REMOTE, {
      key,
      marker: key,
    });
    if (first.kind !== "answer") throw new Error(JSON.stringify(first));
    const repeat = await requestCertificate(cluster, FIRST, {
      key,
      marker: key,
    });
    expect(answerOrReason(repeat)).toEqual(answerOrReason(first));
    expect(await countRuns(cluster, key)).toEqual(1);
  });

  it("is answered and recorded by a daemon that is shutting down", async () => {
    const key = "shut-down";
    const first = requestCertificate(cluster, FIRST, { key, marker: key });
    await waitUntilRunning(cluster, key);
    const ended = cluster.daemon(FIRST).terminate();
    const answer = await first;
    expect(answer.kind).toEqual("answer");
    expect((await ended).code).toEqual(0);
    const repeat = await requestCertificate(cluster, SECOND, {
      key,
      marker: key,
    });
    expect(answerOrReason(repeat)).toEqual(answerOrReason(answer));
    expect(await countRuns(cluster, key)).toEqual(1);
  });

  it("runs once when its daemon is frozen and resumed", async () => {
    const key = "frozen";
    const first = requestCertificate(cluster, FIRST, { key, marker: key });
    await waitUntilRunning(cluster, key);
    const frozen = cluster.daemon(FIRST);
    frozen.suspend();
    try {
      const meanwhile = await requestCertificate(cluster, SECOND, {
        key,
        marker: key,
        deadlineMs: SHORT_DEADLINE_MS,
      });
      if (meanwhile.kind !== "problem") throw new Error(meanwhile.kind);
      expect(meanwhile.problem.reason).toEqual("outcomeUnknown");
      expect(meanwhile.problem.notRun).toEqual(false);
    } finally {
      frozen.resume();
    }
    await first;
    const repeat = await requestCertificate(cluster, SECOND, {
      key,
      marker: key,
    });
    expect(repeat.kind).toEqual("answer");
    expect(await countRuns(cluster, key)).toEqual(1);
  });

  it("runs at most once when its daemon is frozen early in the request", async () => {
    const frozen = cluster.daemon(FIRST);
    for (const freezeAfterMs of [0, 2, 4, 8, 12, 16]) {
      const key = `frozen-after-${freezeAfterMs}`;
      const first = requestCertificate(cluster, FIRST, { key, marker: key });
      await sleep(freezeAfterMs);
      frozen.suspend();
      await requestCertificate(cluster, SECOND, {
        key,
        marker: key,
        deadlineMs: SHORT_DEADLINE_MS,
      });
      frozen.resume();
      await first;
      expect(await countRuns(cluster, key)).toBeLessThanOrEqual(1);
    }
  });
});

import {
  type Cluster,
  startCluster,
} from "@sassafrasstage/stand-ins/cluster/cluster";
import type { AdminAnswer } from "@sassafrasstage/stand-ins/cluster/daemon_handle";
import type { SubmittedConfiguration } from "@sassafrasstage/stand-ins/cluster/planned_configuration";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  readConfiguration,
  waitForGeneration,
} from "./support/daemon_status.js";
import { GenerationWatch } from "./support/generation_watch.js";
import { makeSamplePlan } from "./support/sample_plan.js";

/** Design target: an accepted configuration is in force everywhere within 5 s. */
const IN_FORCE_WITHIN_MS = 5000;

describe("An accepted configuration", () => {
  let cluster: Cluster;
  let watch: GenerationWatch;

  beforeEach(async () => {
    cluster = await startCluster(makeSamplePlan());
    watch = new GenerationWatch(cluster);
    watch.start();
  });

  afterEach(async () => {
    await watch.stop();
    await cluster.stop();
  });

  it("is the same at every daemon after concurrent changes through all daemons with lost responses", async () => {
    await cluster.platform.setFaults({ lostAnswerRatio: 0.3 });
    const accepted: number[] = [];
    for (let round = 0; round < 6; round++) {
      const answers = await Promise.all(
        cluster.daemons.map((daemon, index) =>
          cluster.submitConfiguration(
            withShare(cluster.configuration, 1 + round * 10 + index),
            daemon,
          )
        ),
      );
      accepted.push(...answers.flatMap(acceptedGenerations));
    }
    await cluster.platform.setFaults({ lostAnswerRatio: 0 });
    expect(accepted.length).toBeGreaterThan(0);
    expect(new Set(accepted).size).toEqual(accepted.length);
    await waitUntilInForceEverywhere(cluster, Math.max(...accepted));
    await sleep(500);
    const contents = await Promise.all(cluster.daemons.map(readConfiguration));
    expect(new Set(contents).size).toEqual(1);
    expect(await watch.stop()).toEqual([]);
  });

  it("reaches a data centre that is disconnected from the platform, through its peers", async () => {
    cluster.cutFromPlatform("catania");
    const generation = await applyShare(cluster, 7);
    await waitUntilInForceEverywhere(cluster, generation);
    expect(await watch.stop()).toEqual([]);
  });

  it("reaches a VM that starts while the platform is down", async () => {
    const generation = await applyShare(cluster, 8);
    await waitUntilInForceEverywhere(cluster, generation);
    await cluster.platform.setFaults({ isDown: true });
    const daemon = cluster.daemon("vm-catania-2");
    await daemon.kill();
    await daemon.start();
    await daemon.waitUntilReady(IN_FORCE_WITHIN_MS);
    await waitForGeneration(daemon, generation, IN_FORCE_WITHIN_MS);
    expect(await watch.stop()).toEqual([]);
  });

  it("replaces the configuration of a VM that was frozen during several changes", async () => {
    const daemon = cluster.daemon("vm-catania-1");
    daemon.suspend();
    await applyShare(cluster, 2);
    await applyShare(cluster, 3);
    const generation = await applyShare(cluster, 4);
    daemon.resume();
    await waitForGeneration(daemon, generation, IN_FORCE_WITHIN_MS);
    expect(await readConfiguration(daemon)).toEqual(
      await readConfiguration(cluster.daemon("vm-palermo-1")),
    );
    expect(await watch.stop()).toEqual([]);
  });

  it("is in force within 5 s after an isolated data centre is reconnected", async () => {
    cluster.cutFromPlatform("catania");
    cluster.cutDataCentres("palermo", "catania");
    const generation = await applyShare(cluster, 5);
    await sleep(1500);
    cluster.heal();
    await waitUntilInForceEverywhere(cluster, generation);
    expect(await watch.stop()).toEqual([]);
  });

  it("stays unchanged when a change that refers to an unknown service is refused", async () => {
    const before = await readConfiguration(cluster.daemon("vm-palermo-1"));
    const invalid = structuredClone<unknown>(cluster.configuration) as {
      rules: { pipelines: { stages: { service: string }[] }[] };
    };
    const stage = invalid.rules.pipelines[0]?.stages[0];
    if (stage !== undefined) stage.service = "absent";
    const answer = await cluster.submitConfiguration(
      invalid as unknown as SubmittedConfiguration,
    );
    expect(answer.status).toEqual(422);
    expect(JSON.stringify(answer.body)).toInclude(
      "rules.pipelines.0.stages.0.service",
    );
    expect(await readConfiguration(cluster.daemon("vm-palermo-1"))).toEqual(
      before,
    );
  });
});

/** Sets the share of all client accounts, which identifies the configuration. */
function withShare(
  configuration: SubmittedConfiguration,
  share: number,
): SubmittedConfiguration {
  const clientAccounts = configuration.rules.clientAccounts.map((account) => ({
    ...(account as object),
    share,
  }));
  return {
    ...configuration,
    rules: { ...configuration.rules, clientAccounts },
  };
}

async function applyShare(cluster: Cluster, share: number): Promise<number> {
  const answer = await cluster.submitConfiguration(
    withShare(cluster.configuration, share),
    cluster.daemon("vm-palermo-1"),
  );
  const [generation] = acceptedGenerations(answer);
  if (generation === undefined) throw new Error(JSON.stringify(answer));
  return generation;
}

function acceptedGenerations(answer: AdminAnswer): number[] {
  if (answer.status !== 200) return [];
  return [(answer.body as { generation: number }).generation];
}

async function waitUntilInForceEverywhere(
  cluster: Cluster,
  generation: number,
): Promise<void> {
  await Promise.all(
    cluster.daemons.map((daemon) =>
      waitForGeneration(daemon, generation, IN_FORCE_WITHIN_MS)
    ),
  );
}

import { expect } from "earl";
import { describe, it } from "node:test";
import { CALLER_KEY, countRuns, withCluster } from "./callers_cluster.js";

const REQUESTS = 150;
const DEADLINE_MS = 2000;
/** The retry budget of 10 %, and the 3 retries that a new service starts with. */
const MAX_RETRIES = REQUESTS * 0.1 + 3;

describe("retries", () => {
  it("don't multiply the load on a service whose servers all fail", async () => {
    await withCluster(async (cluster, url) => {
      for (const server of cluster.serversOf("encoder")) {
        await server.setFaults({ failRatio: 1 });
      }
      const calls = Array.from(
        { length: REQUESTS },
        (_, number) =>
          cluster.caller.send(url, {
            pipeline: "draft",
            key: CALLER_KEY,
            input: { number },
            deadlineMs: DEADLINE_MS,
          }),
      );
      const results = await Promise.all(calls);
      const refused = results.filter((result) =>
        result.kind === "problem"
      ).length;
      expect(refused).toEqual(REQUESTS);
      const runs = await countRuns(cluster, "encoder");
      expect(runs <= REQUESTS + MAX_RETRIES).toEqual(true);
      expect(runs > 0).toEqual(true);
    });
  });
});

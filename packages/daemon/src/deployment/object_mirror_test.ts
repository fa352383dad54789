import { toStoreEra } from "@sassafrasstage/protocol/platform_objects";
import { expect } from "earl";
import { describe, it } from "node:test";
import { encodeFrame } from "../peers/frame_codec.js";
import { nestedValue } from "../testing/nested_value.js";
import { ObjectMirror } from "./object_mirror.js";
import { applyWatch } from "./testing/apply_watch.js";

function makeMirror(): {
  readonly mirror: ObjectMirror;
  readonly changes: string[];
} {
  const changes: string[] = [];
  const mirror = new ObjectMirror("servers/", {
    onUpdated: ({ key, version }) => changes.push(`${key}@${version}`),
    onDeleted: ({ key }) => changes.push(`-${key}`),
  });
  return { mirror, changes };
}

function object(
  name: string,
  version: number,
): { key: string; version: number; value: unknown } {
  return { key: `servers/${name}`, version, value: {} };
}

const SECOND_ERA = toStoreEra(2);

/** The value is the generation. */
function makeGenerationMirror(): ObjectMirror {
  return new ObjectMirror("config/", {
    onUpdated: () => undefined,
    onDeleted: () => undefined,
    generationOf: ({ value }) => value as number,
  });
}

function generation(
  value: number,
  version: number,
): { key: string; version: number; value: number } {
  return { key: "config/main", version, value };
}

describe("ObjectMirror", () => {
  it("reports each change once, and objects missing from a newer listing", () => {
    const { mirror, changes } = makeMirror();
    mirror.applyListing({
      revision: 5,
      objects: [object("a", 3), object("b", 4)],
    });
    applyWatch(mirror, {
      revision: 6,
      events: [{ kind: "updated", object: object("a", 6) }],
    });
    mirror.applyListing({ revision: 9, objects: [object("a", 6)] });
    expect(changes).toEqual([
      "servers/a@3",
      "servers/b@4",
      "servers/a@6",
      "-servers/b",
    ]);
  });

  it("ignores an older listing and a peer's older copy", () => {
    const { mirror, changes } = makeMirror();
    mirror.applyListing({ revision: 9, objects: [object("a", 8)] });
    mirror.applyListing({ revision: 7, objects: [] });
    const wasApplied = mirror.applyCopy({
      prefix: "servers/",
      revision: 8,
      newsVersion: 8,
      objects: [],
    });
    expect(wasApplied).toEqual(false);
    expect(changes).toEqual(["servers/a@8"]);
  });

  it("applies a peer's newer copy and resumes the watch at its revision", () => {
    const { mirror, changes } = makeMirror();
    mirror.applyListing({ revision: 4, objects: [object("a", 3)] });
    mirror.applyCopy({
      prefix: "servers/",
      revision: 7,
      newsVersion: 7,
      objects: [object("b", 7)],
    });
    expect(mirror.watchPosition?.after).toEqual(7);
    expect(mirror.newsVersion).toEqual(7);
    expect(changes).toEqual(["servers/a@3", "-servers/a", "servers/b@7"]);
  });

  it("takes the objects of a later era, whose revisions have gone back", () => {
    const { mirror, changes } = makeMirror();
    mirror.applyListing({ revision: 9, objects: [object("a", 8)] });
    mirror.applyListing({
      era: SECOND_ERA,
      revision: 4,
      objects: [{ ...object("a", 3), value: "rewritten" }],
    });
    applyWatch(mirror, {
      era: SECOND_ERA,
      revision: 5,
      events: [{ kind: "updated", object: object("b", 5) }],
    });
    mirror.applyListing({ revision: 10, objects: [object("c", 10)] });
    expect(mirror.watchPosition?.after).toEqual(5);
    expect(changes).toEqual(["servers/a@8", "servers/a@3", "servers/b@5"]);
  });

  it("drops what a later era lacks only when told to", () => {
    const { mirror, changes } = makeMirror();
    mirror.applyListing({
      revision: 9,
      objects: [object("a", 8), object("b", 9)],
    });
    mirror.applyListing({ era: SECOND_ERA, revision: 4, objects: [] });
    expect(mirror.objects.length).toEqual(2);
    expect(mirror.confirmed("servers/a")).toEqual(undefined);
    expect(mirror.copy()?.objects).toEqual([]);
    applyWatch(mirror, {
      era: SECOND_ERA,
      revision: 5,
      events: [{ kind: "updated", object: object("a", 5) }],
    });
    expect(mirror.dropUnconfirmed(SECOND_ERA)).toEqual(1);
    expect(changes).toEqual(["servers/a@8", "servers/b@9", "-servers/b"]);
  });

  it("keeps the highest generation over eras, deletions and copies", () => {
    const generations = makeGenerationMirror();
    generations.applyListing({ revision: 9, objects: [generation(2, 9)] });
    generations.applyListing({
      era: SECOND_ERA,
      revision: 4,
      objects: [generation(1, 3)],
    });
    expect(generations.dropUnconfirmed(SECOND_ERA)).toEqual(0);
    const started = makeGenerationMirror();
    started.applyListing({
      era: SECOND_ERA,
      revision: 4,
      objects: [generation(1, 3)],
    });
    const copy = generations.copy();
    expect(copy !== undefined && started.applyCopy(copy)).toEqual(true);
    started.applyListing({ era: SECOND_ERA, revision: 5, objects: [] });
    expect(started.objects.map(({ value }) => value)).toEqual([2]);
    applyWatch(started, {
      era: SECOND_ERA,
      revision: 6,
      events: [{ kind: "updated", object: generation(2, 6) }],
    });
    expect(started.confirmed("config/main")?.version).toEqual(6);
  });

  it("ignores a deletion that is older than the object", () => {
    const { mirror, changes } = makeMirror();
    mirror.applyListing({ revision: 9, objects: [object("a", 9)] });
    applyWatch(mirror, {
      revision: 9,
      events: [{ kind: "deleted", key: "servers/a", version: 8 }],
    });
    expect(changes).toEqual(["servers/a@9"]);
  });

  // Guards against a server being used again after its removal, which a peer's
  // copy told before a held-up watch response with its last update came.
  it("doesn't bring back what a peer's copy lacks by a late watch response", () => {
    const { mirror, changes } = makeMirror();
    const start = { after: 5, reached: 5 };
    mirror.applyListing({ revision: 5, objects: [object("a", 4)] });
    mirror.applyCopy({
      prefix: "servers/",
      revision: 7,
      newsVersion: 7,
      objects: [],
    });
    const ignored = mirror.applyWatchResponse(start, {
      revision: 6,
      events: [{ kind: "updated", object: object("a", 6) }],
    });
    expect(changes).toEqual(["servers/a@4", "-servers/a"]);
    expect(ignored).toEqual(1);
    expect(mirror.completeRevision).toEqual(7);
    expect(mirror.watchPosition?.after).toEqual(7);
  });

  // Guards against a VM passing its objects on as complete up to a change that it
  // lacks, so that others take them for newer and drop what they know.
  it("doesn't count changes as known that a watch hasn't told yet", () => {
    const { mirror } = makeMirror();
    // A later page of the listing has an object that changed since the first.
    mirror.applyListing({ revision: 4, objects: [object("a", 7)] });
    applyWatch(mirror, {
      revision: 5,
      events: [{ kind: "updated", object: object("b", 5) }],
    });
    expect(mirror.copy()?.revision).toEqual(5);
    expect(mirror.watchPosition?.after).toEqual(5);
  });

  it("knows after a watch without events what had not changed when it began", () => {
    const { mirror } = makeMirror();
    mirror.applyListing({ revision: 4, objects: [] });
    applyWatch(mirror, { revision: 6, events: [] });
    expect(mirror.completeRevision).toEqual(4);
    applyWatch(mirror, { revision: 9, events: [] });
    expect(mirror.completeRevision).toEqual(6);
  });

  // Guards against one odd object keeping all others from being applied,
  // compared or sent to peers.
  it("takes a value that nests too deeply for none", () => {
    const { mirror, changes } = makeMirror();
    const deep = { ...object("a", 3), value: nestedValue(100_000) };
    mirror.applyListing({ revision: 5, objects: [deep, object("b", 4)] });
    const era = SECOND_ERA;
    mirror.applyListing({
      era,
      revision: 2,
      objects: [{ ...deep, version: 1 }, object("b", 2)],
    });
    expect(changes).toEqual(["servers/a@3", "servers/b@4"]);
    const copy = mirror.copy();
    expect(copy?.objects.map(({ value }) => value)).toEqual([null, {}]);
    expect(encodeFrame(copy).length < 1000).toEqual(true);
  });
});

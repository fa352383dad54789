import { expect } from "earl";
import { describe, it } from "node:test";
import { ObjectMirror } from "./object_mirror.js";

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

describe("ObjectMirror", () => {
  it("reports each change once, and objects missing from a newer listing", () => {
    const { mirror, changes } = makeMirror();
    mirror.applyListing({
      revision: 5,
      objects: [object("a", 3), object("b", 4)],
    });
    mirror.applyEvents({
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
    expect(mirror.revision).toEqual(7);
    expect(mirror.newsVersion).toEqual(7);
    expect(changes).toEqual(["servers/a@3", "-servers/a", "servers/b@7"]);
  });

  it("ignores a deletion that is older than the object", () => {
    const { mirror, changes } = makeMirror();
    mirror.applyListing({ revision: 9, objects: [object("a", 9)] });
    mirror.applyEvents({
      revision: 9,
      events: [{ kind: "deleted", key: "servers/a", version: 8 }],
    });
    expect(changes).toEqual(["servers/a@9"]);
  });
});

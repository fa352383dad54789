import { expect } from "earl";
import { describe, it } from "node:test";
import { ObjectMirror } from "./object_mirror.js";

function makeMirror(): {
  readonly mirror: ObjectMirror;
  readonly news: string[];
} {
  const news: string[] = [];
  const mirror = new ObjectMirror("servers/", {
    onUpdated: ({ key, version }) => news.push(`${key}@${version}`),
    onDeleted: ({ key }) => news.push(`-${key}`),
  });
  return { mirror, news };
}

function object(
  name: string,
  version: number,
): { key: string; version: number; value: unknown } {
  return { key: `servers/${name}`, version, value: {} };
}

describe("ObjectMirror", () => {
  it("tells of each change once, and of what a new list no longer holds", () => {
    const { mirror, news } = makeMirror();
    mirror.applyListing({
      revision: 5,
      objects: [object("a", 3), object("b", 4)],
    });
    mirror.applyEvents({
      revision: 6,
      events: [{ kind: "updated", object: object("a", 6) }],
    });
    mirror.applyListing({ revision: 9, objects: [object("a", 6)] });
    expect(news).toEqual([
      "servers/a@3",
      "servers/b@4",
      "servers/a@6",
      "-servers/b",
    ]);
  });

  it("never goes back to an older list or a peer's older copy", () => {
    const { mirror, news } = makeMirror();
    mirror.applyListing({ revision: 9, objects: [object("a", 8)] });
    mirror.applyListing({ revision: 7, objects: [] });
    const isTaken = mirror.applyCopy({
      prefix: "servers/",
      revision: 8,
      newsVersion: 8,
      objects: [],
    });
    expect(isTaken).toEqual(false);
    expect(news).toEqual(["servers/a@8"]);
  });

  it("takes a peer's newer copy, and its watch goes on from there", () => {
    const { mirror, news } = makeMirror();
    mirror.applyListing({ revision: 4, objects: [object("a", 3)] });
    mirror.applyCopy({
      prefix: "servers/",
      revision: 7,
      newsVersion: 7,
      objects: [object("b", 7)],
    });
    expect(mirror.revision).toEqual(7);
    expect(mirror.newsVersion).toEqual(7);
    expect(news).toEqual(["servers/a@3", "-servers/a", "servers/b@7"]);
  });

  it("keeps an object that was made again after its deletion was decided", () => {
    const { mirror, news } = makeMirror();
    mirror.applyListing({ revision: 9, objects: [object("a", 9)] });
    mirror.applyEvents({
      revision: 9,
      events: [{ kind: "deleted", key: "servers/a", version: 8 }],
    });
    expect(news).toEqual(["servers/a@9"]);
  });
});

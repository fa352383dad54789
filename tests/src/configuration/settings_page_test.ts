import { settingsSchema } from "@sassafrasstage/daemon/settings/settings";
import { expect } from "earl";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";

/** Returns the keys in the tables of the settings page, as "section.key". */
function readPageKeys(): string[] {
  const url = new URL("../../../docs/SETTINGS.md", import.meta.url);
  const keys: string[] = [];
  let section = "";
  for (const line of readFileSync(url, "utf8").split("\n")) {
    section = /^## \[(\w+)\]$/.exec(line)?.[1] ?? section;
    const key = /^\| `(\w+)`/.exec(line)?.[1];
    if (key !== undefined) keys.push(`${section}.${key}`);
  }
  return keys.sort();
}

/** Returns all keys of the schema: parsing adds those that have a default. */
function readSchemaKeys(): string[] {
  const settings = settingsSchema.parse({
    vm: { id: "vm-a1", data_centre: "palermo", source_address: "127.0.0.1" },
    listen: { http: "127.0.0.1:1", peers: "127.0.0.1:2" },
    peers: { shared_key: "0123456789abcdef" },
    platform: { url: "http://127.0.0.1:3" },
    admin: { key_sha256: "0".repeat(64) },
  });
  return Object.entries(settings).flatMap(([section, content]) =>
    Object.keys(content).map((key) => `${section}.${key}`)
  ).sort();
}

describe("the settings page", () => {
  it("lists exactly the keys that the daemon accepts", () => {
    expect(readPageKeys()).toEqual(readSchemaKeys());
  });
});

import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { formatSettingsFault, loadSettings } from "./load_settings.js";

const VALID_SETTINGS = `
[vm]
id = vm-a1
data_centre = palermo
[listen]
http = 127.0.0.1:8080
peers = 127.0.0.1:7080
[peers]
shared_key = a-key-of-enough-length
seeds = vm-a2@palermo@127.0.0.1:7081, vm-b1@catania@127.0.0.1:7082
[platform]
url = http://127.0.0.1:9000
[admin]
key_sha256 = ${"0".repeat(64)}
`;

function faultLines(text: string): string[] {
  const check = loadSettings(text);
  return check.kind === "valid" ? [] : check.faults.map(formatSettingsFault);
}

describe("loadSettings", () => {
  it("accepts a valid file and fills in defaults", () => {
    const check = loadSettings(VALID_SETTINGS);
    if (check.kind === "invalid") throw new Error(JSON.stringify(check.faults));
    expect(check.settings.peers.seeds.length).toEqual(2);
    expect(check.settings.policy.name).toEqual("current");
  });

  it("reports the section, the actual value and what was expected", () => {
    expect(faultLines(VALID_SETTINGS.replace("id = vm-a1", "id = VM 1")))
      .toEqual([
        `[vm] id: got "VM 1", expected 1 to 63 of a-z, 0-9, '.', '_' and '-'`,
      ]);
    expect(faultLines(VALID_SETTINGS.replace("http =", "htpp ="))).toLooseEqual(
      [
        `[listen] http: the key is missing`,
        `[listen] htpp: got "(not shown)", expected no key of this name`,
      ],
    );
    expect(faultLines(`${VALID_SETTINGS}\n[extra]\na = 1\n`)).toEqual([
      `[extra]: got "(not shown)", expected no key of this name`,
    ]);
  });

  it("reports a missing section and a missing key", () => {
    expect(faultLines(VALID_SETTINGS.replace(/\[admin\]\n.*\n/, "")))
      .toEqual([`[admin]: the section is missing`]);
    expect(faultLines(VALID_SETTINGS.replace(/key_sha256 = .*\n/, "")))
      .toEqual([`[admin] key_sha256: the key is missing`]);
    expect(faultLines(VALID_SETTINGS.replace(/shared_key = .*\n/, "")))
      .toEqual([`[peers] shared_key: the key is missing`]);
    expect(faultLines(VALID_SETTINGS.replace(/http = .*\n/, "http =\n")))
      .toEqual([`[listen] http: got "", expected host:port`]);
  });

  it("never includes a secret in a fault", () => {
    const lines = faultLines(
      VALID_SETTINGS.replace("a-key-of-enough-length", "short-one"),
    );
    expect(lines.length).toEqual(1);
    expect(lines.join("").includes("short-one")).toEqual(false);
  });

  it("never includes a secret under a misspelled key or section", () => {
    for (
      const [name, misspelled] of [
        ["shared_key =", "shard_key ="],
        ["[peers]", "[peer]"],
      ] as const
    ) {
      const lines = faultLines(VALID_SETTINGS.replace(name, misspelled));
      expect(lines.length > 0).toEqual(true);
      expect(lines.join("").includes("a-key-of-enough-length")).toEqual(false);
    }
  });

  it("never throws on arbitrary text", () => {
    fc.assert(
      fc.property(fc.string(), (text) => {
        loadSettings(text);
      }),
      { seed: 7, numRuns: 500 },
    );
  });
});

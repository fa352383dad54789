import { expect } from "earl";
import { createHash } from "node:crypto";
import { describe, it } from "node:test";
import {
  DEPLOYMENT_NAMES,
  exampleKey,
  readExampleConfiguration,
  readExampleSettings,
} from "./example_files.js";

const ENTRY_VM_COUNTS = { consorzio: 9, stratos: 8 };
const ENGINE_COUNTS = { consorzio: 6, stratos: 13 };

for (const name of DEPLOYMENT_NAMES) {
  describe(`the example deployment ${name}`, () => {
    it("has a valid configuration with the expected number of engines", () => {
      const { register } = readExampleConfiguration(name);
      const engineServices = register.services
        .filter((service) => service.kind === "modelEngine")
        .map((service) => service.name);
      const engines = register.backendServers
        .filter((server) => engineServices.includes(server.service));
      expect(engines.length).toEqual(ENGINE_COUNTS[name]);
    });

    it("contains the hash of each client account's example key", () => {
      for (
        const account of readExampleConfiguration(name).rules.clientAccounts
      ) {
        const sha256 = createHash("sha256").update(exampleKey(account.id));
        expect(account.keySha256).toEqual([sha256.digest("hex")]);
      }
    });

    it("has valid settings that list all other entry VMs as peers", () => {
      const { register } = readExampleConfiguration(name);
      const all = readExampleSettings(name);
      expect(all.length).toEqual(ENTRY_VM_COUNTS[name]);
      for (const { vm, peers } of all) {
        const others = all.map((other) => other.vm.id)
          .filter((id) => id !== vm.id).sort();
        expect(peers.seeds.map((seed) => seed.vmId).sort()).toEqual(others);
        expect(register.dataCentres.map((entry) => entry.name))
          .toInclude(vm.data_centre);
      }
    });
  });
}

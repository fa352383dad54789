/**
 * The links of a cluster's daemons: to each other, to the platform and to the
 * backend servers, each through the fault proxy if the plan says so.
 *
 * @module
 */

import { type LinkMode, PASS } from "../proxy/link_mode.js";
import { TcpProxy } from "../proxy/tcp_proxy.js";

/** A party that daemons connect to. */
export interface LinkTarget {
  readonly name: string;
  /** Undefined for the platform, which is in no data centre. */
  readonly dataCentre: string | undefined;
}

interface ProxiedTarget extends LinkTarget {
  readonly proxy: TcpProxy;
}

interface LinkSource {
  readonly vmId: string;
  readonly dataCentre: string;
}

/** The name of the platform as a link target. */
export const PLATFORM_TARGET = "platform";

const BYTE = 256;
const FROZEN: LinkMode = { kind: "freeze" };

/** All proxied links. Without proxies, addresses are given back unchanged. */
export class ClusterNetwork {
  readonly #isProxied: boolean;
  readonly #vmByAddress: ReadonlyMap<string, string>;
  readonly #targets = new Map<string, ProxiedTarget>();
  readonly #sources: readonly LinkSource[];

  constructor(
    options: {
      readonly isProxied: boolean;
      readonly sources: readonly LinkSource[];
    },
  ) {
    this.#isProxied = options.isProxied;
    this.#sources = options.sources;
    this.#vmByAddress = new Map(
      options.sources.map(({ vmId }) => [this.sourceAddress(vmId), vmId]),
    );
  }

  /** The loopback address from which the VM's daemon connects. */
  sourceAddress(vmId: string): string {
    const index = this.#sources.findIndex((source) => source.vmId === vmId);
    const number = index + 1;
    return `127.1.${Math.floor(number / BYTE)}.${number % BYTE}`;
  }

  /** The "host:port" under which daemons reach the target. */
  async addTarget(target: LinkTarget, address: string): Promise<string> {
    if (!this.#isProxied) return address;
    const { hostname, port } = new URL(`http://${address}`);
    const proxy = new TcpProxy({
      target: { host: hostname, port: Number(port) },
      findSource: (address) => this.#vmByAddress.get(address),
    });
    await proxy.start();
    this.#targets.set(target.name, { ...target, proxy });
    return proxy.address;
  }

  /** The URL under which daemons reach the target. */
  async addUrlTarget(target: LinkTarget, url: string): Promise<string> {
    return `http://${await this.addTarget(target, new URL(url).host)}`;
  }

  /** The target has ended: its port refuses until it listens again. */
  refuseUntilTargetListens(name: string): void {
    this.#targets.get(name)?.proxy.refuseUntilTargetListens();
  }

  /**
   * Sets the mode of one link.
   *
   * @example
   * ```ts
   * network.setLink("vm-a-1", { target: "vm-b-1", mode: { kind: "cut" } });
   * ```
   */
  setLink(
    vmId: string,
    link: { readonly target: string; readonly mode: LinkMode },
  ): void {
    this.#requireProxies();
    const target = this.#targets.get(link.target);
    if (target === undefined) throw new Error(`No target "${link.target}"`);
    setSourceMode(target.proxy, link.mode, vmId);
  }

  /** Sets the mode of all links from one data centre into the other. */
  setDataCentreLinks(
    from: string,
    link: { readonly to: string; readonly mode: LinkMode },
  ): void {
    this.#requireProxies();
    for (const target of this.#targets.values()) {
      if (target.dataCentre !== link.to) continue;
      this.#setFromDataCentre(from, target.proxy, link.mode);
    }
  }

  /** By default packets vanish, as in a network partition. */
  cutDataCentres(a: string, b: string, mode: LinkMode = FROZEN): void {
    this.setDataCentreLinks(a, { to: b, mode });
    this.setDataCentreLinks(b, { to: a, mode });
  }

  cutFromPlatform(dataCentre: string, mode: LinkMode = FROZEN): void {
    this.#requireProxies();
    const platform = this.#targets.get(PLATFORM_TARGET);
    if (platform === undefined) return;
    this.#setFromDataCentre(dataCentre, platform.proxy, mode);
  }

  /** One VM reaches nobody and is reached by no other VM. */
  cutVm(vmId: string, mode: LinkMode = FROZEN): void {
    this.#requireProxies();
    for (const target of this.#targets.values()) {
      if (target.name === vmId) {
        for (const source of this.#sources) {
          setSourceMode(target.proxy, mode, source.vmId);
        }
      } else {
        setSourceMode(target.proxy, mode, vmId);
      }
    }
  }

  heal(): void {
    for (const target of this.#targets.values()) target.proxy.heal();
  }

  async stop(): Promise<void> {
    const targets = [...this.#targets.values()];
    await Promise.all(targets.map((target) => target.proxy.stop()));
  }

  #setFromDataCentre(
    dataCentre: string,
    proxy: TcpProxy,
    mode: LinkMode = PASS,
  ): void {
    for (const source of this.#sources) {
      if (source.dataCentre !== dataCentre) continue;
      setSourceMode(proxy, mode, source.vmId);
    }
  }

  #requireProxies(): void {
    if (!this.#isProxied) throw new Error("The cluster has no proxies");
  }
}

/** No source has a mode of its own for longer than needed: each costs time. */
function setSourceMode(proxy: TcpProxy, mode: LinkMode, vmId: string): void {
  if (mode.kind === "pass") proxy.clearMode(vmId);
  else proxy.setMode(mode, vmId);
}

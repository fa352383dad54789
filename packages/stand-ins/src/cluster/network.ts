/**
 * The links from the daemons of a cluster to each other, to the platform and to
 * the backend servers. They go through fault-injecting proxies if the plan asks
 * for it.
 *
 * @module
 */

import { type LinkMode, PASS } from "../proxy/link_mode.js";
import { TcpProxy } from "../proxy/tcp_proxy.js";

/** A server that daemons connect to. */
export interface LinkTarget {
  readonly name: string;
  /** Undefined for the platform, which isn't in a data centre. */
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

const BYTE_VALUES = 256;
const FROZEN: LinkMode = { kind: "freeze" };

/** All links of a cluster. Without proxies, addresses stay unchanged. */
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

  /** The loopback address from which the daemon of a VM connects. */
  sourceAddress(vmId: string): string {
    const index = this.#sources.findIndex((source) => source.vmId === vmId);
    const number = index + 1;
    return `127.1.${Math.floor(number / BYTE_VALUES)}.${number % BYTE_VALUES}`;
  }

  /** Adds a target; resolves to the "host:port" that daemons connect to. */
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

  /** Adds a target; resolves to the URL that daemons connect to. */
  async addUrlTarget(target: LinkTarget, url: string): Promise<string> {
    return `http://${await this.addTarget(target, new URL(url).host)}`;
  }

  /** Refuses connections to a target that has ended until it listens again. */
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

  /** Sets the mode of all links from one data centre to another. */
  setDataCentreLinks(
    from: string,
    link: { readonly to: string; readonly mode: LinkMode },
  ): void {
    this.#requireProxies();
    for (const target of this.#targets.values()) {
      if (target.dataCentre !== link.to) continue;
      this.#setModeFromDataCentre(from, target.proxy, link.mode);
    }
  }

  /**
   * Cuts the links between two data centres. By default, bytes are held back
   * without an error, as in a network partition.
   */
  cutDataCentres(a: string, b: string, mode: LinkMode = FROZEN): void {
    this.setDataCentreLinks(a, { to: b, mode });
    this.setDataCentreLinks(b, { to: a, mode });
  }

  cutFromPlatform(dataCentre: string, mode: LinkMode = FROZEN): void {
    this.#requireProxies();
    const platform = this.#targets.get(PLATFORM_TARGET);
    if (platform === undefined) return;
    this.#setModeFromDataCentre(dataCentre, platform.proxy, mode);
  }

  /** Cuts all links from and to one VM. */
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

  #setModeFromDataCentre(
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

/**
 * Sets the mode of one source. For "pass", the mode of the source is removed
 * instead, because each source with a mode of its own costs time.
 */
function setSourceMode(proxy: TcpProxy, mode: LinkMode, vmId: string): void {
  if (mode.kind === "pass") proxy.clearMode(vmId);
  else proxy.setMode(mode, vmId);
}

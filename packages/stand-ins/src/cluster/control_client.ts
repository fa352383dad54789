/**
 * Clients of the control routes of stand-in processes.
 *
 * @module
 */

import { request } from "undici";
import type {
  BackendServerFaults,
  BackendServerRecord,
} from "../backend_servers/backend_server_core.js";
import type { ListedVm } from "@sassafrasstage/protocol/platform_objects";
import type { Announcement } from "../bin/announce.js";
import type {
  PlatformFaults,
  PlatformRecord,
} from "../platform/platform_faults.js";

/** Controls the process of the platform stand-in. */
export class PlatformControl {
  readonly url: string;
  readonly #controlUrl: string;

  constructor(announcement: Announcement) {
    this.url = announcement.url;
    this.#controlUrl = announcement.controlUrl;
  }

  async setFaults(faults: Partial<PlatformFaults>): Promise<void> {
    await post(`${this.#controlUrl}/control/faults`, faults);
  }

  async setVms(vms: readonly ListedVm[]): Promise<void> {
    await post(`${this.#controlUrl}/control/vms`, { vms });
  }

  async trimHistory(): Promise<void> {
    await post(`${this.#controlUrl}/control/trim-history`, {});
  }

  async record(): Promise<PlatformRecord> {
    return await get(`${this.#controlUrl}/control/record`) as PlatformRecord;
  }
}

/** Controls one stand-in backend server. */
export class BackendServerControl {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly vmId: string;
  /** The URL of the server itself, not of a proxy. */
  readonly url: string;
  readonly #controlUrl: string;

  constructor(
    server: {
      readonly id: string;
      readonly service: string;
      readonly dataCentre: string;
      readonly vmId: string;
    },
    announcement: Announcement,
  ) {
    this.id = server.id;
    this.service = server.service;
    this.dataCentre = server.dataCentre;
    this.vmId = server.vmId;
    this.url = announcement.url;
    this.#controlUrl = announcement.controlUrl;
  }

  async setFaults(faults: Partial<BackendServerFaults>): Promise<void> {
    await post(`${this.#controlUrl}/control/faults`, faults);
  }

  async turnCold(): Promise<void> {
    await post(`${this.#controlUrl}/control/turn-cold`, {});
  }

  async record(): Promise<BackendServerRecord> {
    const url = `${this.#controlUrl}/control/record`;
    return await get(url) as BackendServerRecord;
  }
}

async function post(url: string, body: unknown): Promise<void> {
  const answer = await request(url, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  });
  const text = await answer.body.text();
  if (answer.statusCode >= 300) {
    throw new Error(
      `Control call failed with status ${answer.statusCode}: ${text}`,
    );
  }
}

async function get(url: string): Promise<unknown> {
  const answer = await request(url);
  return await answer.body.json();
}

/** The frame of a case: record, processes, exit status, and the end of it all. */

import { fileURLToPath } from "node:url";
import { Record } from "./record.mjs";
import { Store } from "./store.mjs";
import { System } from "./system.mjs";

/** Exit statuses. */
export const HELD = 0;
export const BROKEN = 1;
export const CANNOT_RUN = 2;

export const HAS_TROUBLE = process.env.TROUBLE !== "0";

const MAX_PLAY_MS = 110_000;

/**
 * Runs a case and exits with its status.
 *
 * @param moduleUrl Of the case, in whose folder the record is written
 * @param play Gets `record`, `store`, `system` and `onEnd`; returns the status
 */
export async function runPlay(moduleUrl, play) {
  const record = new Record(fileURLToPath(new URL("record.txt", moduleUrl)));
  const system = new System(record);
  const store = new Store();
  const closers = [() => store.close()];
  const onEnd = (close) => closers.push(close);
  let isEnding = false;
  async function end(status, reason = "") {
    if (isEnding) return;
    isEnding = true;
    record.add(`exit status ${status}${reason === "" ? "" : `: ${reason}`}`);
    await system.end();
    for (const close of closers) close();
    record.save();
    process.exit(status);
  }
  setTimeout(() => end(CANNOT_RUN, "it took too long"), MAX_PLAY_MS).unref();
  for (const signal of ["SIGTERM", "SIGINT"]) {
    process.on(signal, () => end(CANNOT_RUN, signal));
  }
  try {
    const status = await play({ record, store, system, onEnd });
    await end(status);
  } catch (error) {
    await end(CANNOT_RUN, String(error?.stack ?? error));
  }
}

/** Writes what happened to `record.txt`, with the time since the start. */

import { writeFileSync } from "node:fs";

export class Record {
  #path;
  #lines = [];
  #startedAtMs = performance.now();

  constructor(path) {
    this.#path = path;
  }

  nowMs() {
    return performance.now() - this.#startedAtMs;
  }

  add(text) {
    const time = (this.nowMs() / 1000).toFixed(3).padStart(8);
    this.#lines.push(`${time} s  ${text}`);
  }

  save() {
    writeFileSync(this.#path, `${this.#lines.join("\n")}\n`);
  }
}

/**
 * Counts the chunks that a decoder keeps alive.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/**
 * Cuts the bytes into chunks of the given size, hands them over, and returns
 * how many of them are still referred to.
 */
export async function countRetainedChunks(
  bytes: Buffer,
  chunkBytes: number,
  handOver: (chunk: Buffer) => void,
): Promise<number> {
  setFlagsFromString("--expose-gc");
  const collectGarbage = runInNewContext("gc") as () => void;
  const chunks: WeakRef<Buffer>[] = [];
  for (let at = 0; at < bytes.length; at += chunkBytes) {
    const chunk = Buffer.from(bytes.subarray(at, at + chunkBytes));
    chunks.push(new WeakRef(chunk));
    handOver(chunk);
  }
  // References are kept until the present job has ended.
  await sleep(1);
  collectGarbage();
  return chunks.filter((chunk) => chunk.deref() !== undefined).length;
}

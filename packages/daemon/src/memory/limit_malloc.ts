/**
 * Makes the C library return freed memory to the kernel at once.
 *
 * By default it raises its thresholds up to 32 MB when large blocks are freed,
 * and keeps the memory of each thread apart, so that a process occupies tens of
 * megabytes that nothing uses.
 *
 * @module
 */

import koffi from "koffi";

/** Of glibc. */
const M_TRIM_THRESHOLD = -1;
const M_MMAP_THRESHOLD = -3;
const M_ARENA_MAX = -8;
const THRESHOLD_BYTES = 64 * 1024;
const MAX_ARENAS = 2;

/** Returns why that can't be done; undefined if it was. */
export function limitMalloc(): string | undefined {
  if (process.platform !== "linux") {
    return `Not supported on ${process.platform}`;
  }
  try {
    const library = koffi.load(null);
    const set = library.func("int mallopt(int, int)") as (
      option: number,
      value: number,
    ) => number;
    const isSet = set(M_TRIM_THRESHOLD, THRESHOLD_BYTES) === 1 &&
      set(M_MMAP_THRESHOLD, THRESHOLD_BYTES) === 1 &&
      set(M_ARENA_MAX, MAX_ARENAS) === 1;
    return isSet ? undefined : "The C library has refused the options";
  } catch (error) {
    return String(error);
  }
}

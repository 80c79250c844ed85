import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

const BYTES_PER_MB = 1024 * 1024;

let collect: (() => void) | undefined;

/** Collects garbage and returns the heap in use, in megabytes. */
export function liveHeapMb(): number {
  collect ??= exposeCollector();
  collect();
  return process.memoryUsage().heapUsed / BYTES_PER_MB;
}

function exposeCollector(): () => void {
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc") as () => void;
}

import { readFileSync } from "node:fs";

/** Resources that a process has used since its start. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly rssMb: number;
  /** Bytes read and written by system calls: connections and log lines. */
  readonly ioBytes: number;
}

/** Length of a clock tick in the accounting of Linux, in milliseconds. */
const TICK_MS = 10;
const KB_PER_MB = 1024;

/** Reads the resource usage of a process from `/proc`. */
export function readUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  return {
    cpuMs: ticks * TICK_MS,
    rssMb: readField(`/proc/${pid}/status`, "VmRSS") / KB_PER_MB,
    ioBytes: readField(`/proc/${pid}/io`, "rchar") +
      readField(`/proc/${pid}/io`, "wchar"),
  };
}

function readField(path: string, name: string): number {
  const line = readFileSync(path, "utf8").split("\n")
    .find((text) => text.startsWith(`${name}:`));
  return Number.parseInt(line?.slice(name.length + 1) ?? "", 10);
}

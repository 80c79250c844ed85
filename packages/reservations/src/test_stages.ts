import { NO_RESOURCES } from "@mustardweir/model";
import type { RunningWork, WideStage } from "./reservation.ts";

/** Time of the tests, in milliseconds. */
export const NOW = 10_000;

/** Returns the room of some accelerators. */
export function accelerators(count: number) {
  return { ...NO_RESOURCES, accelerators: count };
}

/** Returns a gang of two whole workers, changed by `options`. */
export function wideStage(options: Partial<WideStage> = {}): WideStage {
  const size = accelerators(8);
  const limits = { tasks: 2, sameRack: false, maxPerWorker: 0 };
  const stage = { name: "a", pool: "wide", rank: 2, priority: 1, size };
  return { ...stage, ...limits, ...options };
}

/** Returns a preemptible task of one accelerator that ends after a time. */
export function runOf(
  name: string,
  inMs: number,
  options: Partial<RunningWork> = {},
): RunningWork {
  const times = { endMs: NOW + inMs, startedMs: NOW - 100 };
  const rules = { priority: 2, preemptions: 0, isPreemptible: true };
  return { name, size: accelerators(1), ...times, ...rules, ...options };
}

import type { Update } from "@mustardweir/kernel";
import {
  ChangeKind,
  gauge,
  Source,
  type SourceChange,
} from "@mustardweir/protocol";
import { applyChange } from "./apply.ts";
import { REPLICA, type Replica, type SourceView } from "./replica.ts";

/** Workers that left are remembered longer than any lease, in milliseconds. */
const DEPARTED_MS = 30_000;
/** Age of a source that was never known. */
export const NEVER = -1;

/** Sets the gauges of what is known, and how old it is. */
export function showAges(update: Update): void {
  const { sources, desired, workers } = update.read(REPLICA);
  for (const [source, { isListed, answeredMs }] of Object.entries(sources)) {
    const ageMs = isListed ? Math.round(update.now - answeredMs) : NEVER;
    update.emit(gauge(`source-${source}-age-ms`, ageMs));
  }
  update.emit(gauge("desired-version", desired?.version ?? NEVER));
  update.emit(gauge("workers-registered", workers.size));
}

/** Takes the store's clock and this node's time of day into the replica. */
export function takeClocks(
  update: Update,
  { clockMs, unixMs }: { readonly clockMs: number; readonly unixMs: number },
): void {
  const replica = update.write(REPLICA);
  replica.storeClockOffsetMs = clockMs - update.now;
  replica.unixOffsetMs = unixMs - clockMs;
}

/** Drops what a whole listing no longer names. */
export function dropMissing(
  update: Update,
  source: Source,
  listed: readonly SourceChange[],
): void {
  const replica = update.read(REPLICA);
  if (source === Source.Workers) {
    const ids = new Set(
      listed.map((c) => c.kind === ChangeKind.Worker ? c.id : ""),
    );
    for (const id of [...replica.workers.keys()].filter((id) => !ids.has(id))) {
      applyChange(update, { kind: ChangeKind.Worker, id });
    }
  } else if (source === Source.Operator) {
    const zones = new Set(
      listed.map((c) => c.kind === ChangeKind.ZoneDrain ? c.zone : ""),
    );
    for (const zone of [...replica.drainedZones.keys()]) {
      if (!zones.has(zone)) {
        applyChange(update, {
          kind: ChangeKind.ZoneDrain,
          zone,
          isDrained: false,
        });
      }
    }
  }
}

/** Forgets workers that left long ago. */
export function forgetDeparted(update: Update): void {
  const { departed } = update.read(REPLICA);
  for (const [id, { departedMs }] of departed) {
    if (update.now - departedMs > DEPARTED_MS) {
      update.write(REPLICA).departed.delete(id);
    }
  }
}

/** A replica that knows nothing. */
export function createReplica(): Replica {
  const view = (): SourceView => ({
    isListed: false,
    version: 0,
    answeredMs: -Infinity,
  });
  return {
    sources: {
      [Source.Records]: view(),
      [Source.Operator]: view(),
      [Source.Workers]: view(),
    },
    desired: undefined,
    drainedZones: new Map(),
    workers: new Map(),
    departed: new Map(),
    jobs: new Map(),
    orphans: new Map(),
    cancels: new Set(),
    sessions: new Map(),
    nodes: new Map(),
    tenure: undefined,
    storeClockOffsetMs: undefined,
    unixOffsetMs: 0,
  };
}

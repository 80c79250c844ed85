import type { Update } from "@mustardweir/kernel";
import {
  ChangeKind,
  gauge,
  Source,
  type SourceChange,
} from "@mustardweir/protocol";
import { applyChange } from "./apply.ts";
import { parseKey, RecordKind } from "./record_keys.ts";
import {
  REPLICA,
  type Replica,
  type SourceView,
  STORE_CLOCK_READ,
} from "./replica.ts";
import { UnreadableLog } from "./unreadable_log.ts";

/** Departed workers are kept longer than any lease lasts, in milliseconds. */
const DEPARTED_TTL_MS = 30_000;
/** Reported as the age of a source, or as a version, that isn't known yet. */
export const UNKNOWN_VALUE = -1;

/** Sets the gauges of source ages, desired version and registered workers. */
export function emitSourceGauges(update: Update): void {
  const { sources, desired, workers } = update.read(REPLICA);
  for (const [source, { isListed, answeredMs }] of Object.entries(sources)) {
    const ageMs = isListed
      ? Math.round(update.now - answeredMs)
      : UNKNOWN_VALUE;
    update.emit(gauge(`source-${source}-age-ms`, ageMs));
  }
  update.emit(gauge("desired-version", desired?.version ?? UNKNOWN_VALUE));
  update.emit(gauge("workers-registered", workers.size));
}

/** Updates the clock offsets from a reply of the store. */
export function updateClocks(
  update: Update,
  { clockMs, unixMs }: { readonly clockMs: number; readonly unixMs: number },
): void {
  const replica = update.write(REPLICA);
  const isFirst = replica.storeClockOffsetMs === undefined;
  replica.storeClockOffsetMs = clockMs - update.now;
  replica.unixOffsetMs = unixMs - clockMs;
  if (isFirst) {
    update.dispatch(STORE_CLOCK_READ, {});
  }
}

/**
 * Removes workers, zone drains and marks of closed workers that a complete
 * listing doesn't contain.
 */
export function removeUnlisted(
  update: Update,
  source: Source,
  listed: readonly SourceChange[],
): void {
  const replica = update.read(REPLICA);
  if (source === Source.Records) {
    const closed = new Set(listed.map(closedWorkerOf));
    for (const id of [...replica.closed.keys()]) {
      if (!closed.has(id)) {
        update.write(REPLICA).closed.delete(id);
      }
    }
  } else if (source === Source.Workers) {
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

function closedWorkerOf(change: SourceChange): string | undefined {
  const key = change.kind === ChangeKind.Record
    ? parseKey(change.record.key)
    : undefined;
  return key?.kind === RecordKind.Closed ? key.name : undefined;
}

/** Removes departed workers after {@link DEPARTED_TTL_MS}. */
export function expireDeparted(update: Update): void {
  const { departed } = update.read(REPLICA);
  for (const [id, { departedMs }] of departed) {
    if (update.now - departedMs > DEPARTED_TTL_MS) {
      update.write(REPLICA).departed.delete(id);
    }
  }
}

/** Returns an empty replica. */
export function createReplica(): Replica {
  const view = (): SourceView => ({
    isListed: false,
    version: 0,
    answeredMs: -Infinity,
  });
  return {
    sources: {
      [Source.Records]: view(),
      [Source.Fleet]: view(),
      [Source.Operator]: view(),
      [Source.Workers]: view(),
    },
    desired: undefined,
    drainedZones: new Map(),
    workers: new Map(),
    departed: new Map(),
    jobs: new Map(),
    orphans: new Map(),
    progressParts: new Map(),
    cancels: new Set(),
    sessions: new Map(),
    unreadableSessions: new Set(),
    unreadable: new UnreadableLog(),
    closed: new Map(),
    nodes: new Map(),
    tenure: undefined,
    formerTenure: undefined,
    summary: undefined,
    isStandby: false,
    storeClockOffsetMs: undefined,
    unixOffsetMs: undefined,
    medianOffset: undefined,
  };
}

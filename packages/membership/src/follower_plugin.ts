import {
  CommandPriority,
  createCommand,
  createStateKey,
  type Kernel,
  mergeUndo,
  Plugin,
  registerPlugin,
  Role,
  type Undo,
  type Update,
} from "@mustardweir/kernel";
import {
  EffectKind,
  type EffectReply,
  type ListInstancesResult,
  logChange,
  NODE_IDENTITY,
  nodeEffect,
  PEER_MESSAGE_RECEIVED,
  type PeerAddress,
  PeerMessageKind,
  replyTo,
  type ScanPage,
  type ScanResult,
  StoreStatus,
} from "@mustardweir/protocol";
import * as z from "zod";
import {
  OWNERSHIP,
  OWNERSHIP_PREFIX,
  type OwnershipRow,
  type VersionedOwnership,
} from "./ownership.ts";
import { PEER_CLAIMS, recordHeartbeat } from "./claims.ts";
import { PEERS } from "./peers.ts";

/** Interval of scans of the ownership rows, in milliseconds. */
const SCAN_INTERVAL_MS = 1_000;

/** A scan without a reply for this long is abandoned, in milliseconds. */
const SCAN_TIMEOUT_MS = 3_000;

/** Interval of reads of the platform's list of instances, in milliseconds. */
const LIST_INTERVAL_MS = 1_000;

interface FollowerState {
  scanStartedAt: number | undefined;
  /** Number of the scan in flight, to ignore late replies to earlier ones. */
  scanId: number;
}

/** The schedulers, from the settings and the platform's list of instances. */
export interface SchedulersState {
  /** The other schedulers. */
  peers: readonly PeerAddress[];
  /** False until the platform's list has contained a scheduler. */
  isListed: boolean;
  /** Whether this node is a scheduler that counts towards a majority. */
  isMember: boolean;
  /** Instances, including workers, that the platform marks as leaving. */
  leaving: ReadonlySet<string>;
}

/** State key of {@link SchedulersState}. */
export const SCHEDULERS = createStateKey<SchedulersState>("schedulers");

const FOLLOWER = createStateKey<FollowerState>("ownership-follower");

const OWNERSHIP_SCANNED = createCommand<
  EffectReply<{ scanId: number; startedAt: number }, ScanResult>
>("ownership-scanned");

const INSTANCES_LISTED = createCommand<
  EffectReply<undefined, ListInstancesResult>
>("instances-listed");

/** Dispatched when an ownership row has changed or was deleted. */
export const OWNERSHIP_CHANGED = createCommand<{ readonly unit: string }>(
  "ownership-changed",
);

/** Dispatched after each successful scan of the ownership rows. */
export const OWNERSHIP_CONFIRMED = createCommand<{
  readonly startedAt: number;
}>("ownership-confirmed");

/** Keeps the ownership rows, peers' claims and the schedulers up to date. */
export class OwnershipFollowerPlugin extends Plugin {
  override readonly name = "ownership-follower";

  override register(kernel: Kernel): Undo {
    return mergeUndo(
      kernel.registerState(OWNERSHIP, {
        rows: new Map(),
        revision: 0,
        scannedAt: -Infinity,
      }),
      kernel.registerState(PEERS, { views: new Map() }),
      kernel.registerState(PEER_CLAIMS, {
        epochs: new Map(),
        claimants: new Map(),
      }),
      kernel.registerState(FOLLOWER, {
        scanStartedAt: undefined,
        scanId: 0,
      }),
      kernel.registerState(SCHEDULERS, {
        isListed: false,
        isMember: false,
        peers: [],
        leaving: new Set<string>(),
      }),
      kernel.registerCommand(
        OWNERSHIP_SCANNED,
        ({ context, result }, update) => applyScan(update, context, result),
        CommandPriority.Normal,
      ),
      kernel.registerCommand(
        INSTANCES_LISTED,
        ({ result }, update) => applyInstanceList(update, result),
        CommandPriority.Normal,
      ),
      kernel.registerCommand(
        PEER_MESSAGE_RECEIVED,
        ({ message }, update) => {
          if (message.kind === PeerMessageKind.Heartbeat) {
            recordHeartbeat(update, message);
          }
        },
        CommandPriority.Critical,
      ),
      kernel.registerPeriodic({
        intervalMs: SCAN_INTERVAL_MS,
        run: startScan,
      }),
      kernel.registerPeriodic({
        intervalMs: LIST_INTERVAL_MS,
        run: listInstances,
      }),
    );
  }
}

function startScan(update: Update): void {
  const follower = update.write(FOLLOWER);
  const { scanStartedAt } = follower;
  if (
    scanStartedAt !== undefined &&
    update.now - scanStartedAt < SCAN_TIMEOUT_MS
  ) {
    return;
  }
  follower.scanStartedAt = update.now;
  follower.scanId += 1;
  update.emit(nodeEffect({
    kind: EffectKind.ScanTable,
    prefix: OWNERSHIP_PREFIX,
    afterRevision: update.read(OWNERSHIP).revision,
    replyTo: replyTo(OWNERSHIP_SCANNED, {
      scanId: follower.scanId,
      startedAt: update.now,
    }),
  }));
}

function applyScan(
  update: Update,
  context: { readonly scanId: number; readonly startedAt: number },
  result: ScanResult,
): void {
  const follower = update.write(FOLLOWER);
  if (context.scanId !== follower.scanId) {
    return;
  }
  follower.scanStartedAt = undefined;
  if (result.status !== StoreStatus.Ok) {
    return;
  }
  const changed = applyRows(update, result.page);
  update.write(OWNERSHIP).scannedAt = context.startedAt;
  for (const unit of changed) {
    update.dispatch(OWNERSHIP_CHANGED, { unit });
  }
  update.dispatch(OWNERSHIP_CONFIRMED, { startedAt: context.startedAt });
}

function applyRows(update: Update, page: ScanPage): string[] {
  const state = update.write(OWNERSHIP);
  const changed: string[] = [];
  for (const { key, value, version } of page.rows) {
    const unit = key.slice(OWNERSHIP_PREFIX.length);
    const row = parseRow(value);
    if (row === undefined) {
      update.emit(logChange("Ownership row can't be read", { unit }));
    } else if (storeIfNewer(state.rows, unit, { row, version })) {
      changed.push(unit);
    }
  }
  for (const key of page.deleted) {
    const unit = key.slice(OWNERSHIP_PREFIX.length);
    state.rows.delete(unit);
    changed.push(unit);
  }
  state.revision = Math.max(state.revision, page.revision);
  return changed;
}

/**
 * Stores a row if it is newer than the stored one; returns whether it was.
 *
 * @internal
 */
export function storeIfNewer(
  rows: Map<string, VersionedOwnership>,
  unit: string,
  next: VersionedOwnership,
): boolean {
  const known = rows.get(unit);
  if (known !== undefined && known.version >= next.version) {
    return false;
  }
  rows.set(unit, next);
  return true;
}

const ownershipRowSchema = z.looseObject({
  owner: z.string(),
  epoch: z.number(),
  successors: z.array(z.looseObject({ nodeId: z.string(), epoch: z.number() })),
});

/** Parses the value of an ownership row; undefined if it is malformed. */
function parseRow(value: string): OwnershipRow | undefined {
  try {
    return ownershipRowSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}

function listInstances(update: Update): void {
  if (!update.read(SCHEDULERS).isListed) {
    updateSchedulers(update, []);
  }
  update.emit(nodeEffect({
    kind: EffectKind.ListInstances,
    replyTo: replyTo(INSTANCES_LISTED, undefined),
  }));
}

function applyInstanceList(update: Update, result: ListInstancesResult): void {
  if (result.status !== StoreStatus.Ok) {
    return;
  }
  update.write(SCHEDULERS).leaving = new Set(
    result.instances.filter(({ leaving }) => leaving).map((i) => i.nodeId),
  );
  const listed = result.instances
    .filter((instance) => instance.role === Role.Scheduler)
    .map(({ nodeId, address }) => ({ nodeId, address }));
  update.write(SCHEDULERS).isListed ||= listed.length > 0;
  updateSchedulers(update, listed);
}

/** Returns true if the platform's list marks the instance as leaving. */
export function isLeaving(update: Update, instanceId: string): boolean {
  return update.read(SCHEDULERS).leaving.has(instanceId);
}

/**
 * Updates the schedulers and, if they have changed, connects to them. Those of
 * the settings apply until the platform's list contains a scheduler.
 */
function updateSchedulers(
  update: Update,
  listed: readonly PeerAddress[],
): void {
  const { nodeId, role, seedPeers } = update.service(NODE_IDENTITY);
  const byId = new Map<string, PeerAddress>();
  for (const peer of listed.length > 0 ? listed : seedPeers) {
    byId.set(peer.nodeId, peer);
  }
  const isListed = byId.delete(nodeId);
  const peers = [...byId.values()];
  const schedulers = update.write(SCHEDULERS);
  schedulers.isMember = role === Role.Scheduler &&
    (isListed || listed.length === 0);
  if (JSON.stringify(peers) === JSON.stringify(schedulers.peers)) {
    return;
  }
  schedulers.peers = peers;
  update.emit(nodeEffect({ kind: EffectKind.ConnectPeers, peers }));
  update.emit(logChange("Schedulers changed", { count: peers.length }));
}

registerPlugin({
  name: "ownership-follower",
  roles: [Role.Entry, Role.Scheduler],
  create: () => new OwnershipFollowerPlugin(),
});

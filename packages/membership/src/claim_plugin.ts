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
import { CONFIGURATION } from "@mustardweir/configuration";
import { type Configuration, sliceFleet } from "@mustardweir/model";
import {
  type Answered,
  type CommitResult,
  count,
  EffectKind,
  logChange,
  NODE_IDENTITY,
  nodeEffect,
  type OwnedUnit,
  PEER_MESSAGE_RECEIVED,
  PeerMessageKind,
  replyTo,
  STOP_REQUESTED,
  StoreStatus,
} from "@mustardweir/protocol";
import {
  CLAIMS_SUPERSEDED,
  COMPOSE_CLAIMS,
  MAJORITY_VOUCHED,
} from "./confirmation_plugin.ts";
import { OWNERSHIP_CHANGED, OWNERSHIP_CONFIRMED } from "./follower_plugin.ts";
import { isStopping, markStopping, sendHeartbeat } from "./heartbeat_plugin.ts";
import {
  OWNED,
  type Owned,
  UNIT_ACQUIRED,
  UNIT_LOST,
  UNIT_SUPERSEDED,
} from "./owned.ts";
import {
  homeUnit,
  OWNERSHIP,
  OWNERSHIP_PREFIX,
  type OwnershipRow,
  sliceUnit,
} from "./ownership.ts";
import { alivePeers, PEER_TIMEOUT_MS, PEERS } from "./peers.ts";
import { type Candidate, rankCandidates } from "./rendezvous.ts";

/** Time between looks for units without a living owner, in milliseconds. */
const CLAIM_INTERVAL_MS = 250;

/** Most claims in flight at a time. */
const MAX_CLAIMS_IN_FLIGHT = 16;

/** Time between hand-overs of single units to their preferred owner. */
const REBALANCE_INTERVAL_MS = 2_000;

/** A preferred owner must have been alive for this long to be given a unit. */
const REBALANCE_AFTER_MS = 10_000;

/** Releases that take longer than this are left to the successors. */
const RELEASE_TIMEOUT_MS = 3_000;

/** A home or slice that must have an owner. */
interface NeededUnit {
  readonly unit: string;
  /** Candidates in this zone go first; empty for homes. */
  readonly availabilityZone: string;
}

interface ClaimState {
  startedAt: number | undefined;
  readonly inFlight: Set<string>;
  needed: readonly NeededUnit[];
  neededVersion: number;
  /** When each alive scheduler was first heard without a gap. */
  readonly aliveSince: Map<string, number>;
  stopRequestedAt: number | undefined;
}

const CLAIMS = createStateKey<ClaimState>("claims");

interface ClaimContext {
  readonly unit: string;
  readonly row: OwnershipRow;
  readonly version: number;
  readonly isFirstOwner: boolean;
}

const CLAIM_ANSWERED = createCommand<Answered<ClaimContext, CommitResult>>(
  "claim-answered",
);

const RELEASE_ANSWERED = createCommand<Answered<string, CommitResult>>(
  "release-answered",
);

/** Takes over units without a living owner; gives them up when superseded. */
export class ClaimPlugin extends Plugin {
  override readonly name = "claim";

  override register(kernel: Kernel): Undo {
    return mergeUndo(
      kernel.registerState(OWNED, {
        units: new Map(),
        confirmedAt: -Infinity,
      }),
      kernel.registerState(CLAIMS, {
        startedAt: undefined,
        inFlight: new Set<string>(),
        needed: [],
        neededVersion: -1,
        aliveSince: new Map(),
        stopRequestedAt: undefined,
      }),
      ...this.#registerCommands(kernel),
      kernel.registerPeriodic({
        intervalMs: CLAIM_INTERVAL_MS,
        run: claimUnits,
      }),
      kernel.registerPeriodic({
        intervalMs: REBALANCE_INTERVAL_MS,
        run: rebalance,
      }),
    );
  }

  #registerCommands(kernel: Kernel): Undo[] {
    return [
      kernel.registerCommand(
        CLAIM_ANSWERED,
        ({ context, result }, update) => settleClaim(update, context, result),
        CommandPriority.Normal,
      ),
      kernel.registerCommand(
        RELEASE_ANSWERED,
        ({ context, result }, update) => settleRelease(update, context, result),
        CommandPriority.Normal,
      ),
      kernel.registerCommand(
        OWNERSHIP_CHANGED,
        ({ unit }, update) => checkRow(update, unit),
        CommandPriority.High,
      ),
      kernel.registerCommand(
        OWNERSHIP_CONFIRMED,
        ({ startedAt }, update) => confirm(update, startedAt),
        CommandPriority.High,
      ),
      kernel.registerCommand(
        MAJORITY_VOUCHED,
        ({ at }, update) => confirm(update, at),
        CommandPriority.High,
      ),
      kernel.registerCommand(
        COMPOSE_CLAIMS,
        ({ owned }, update) => composeClaims(owned, update),
        CommandPriority.Normal,
      ),
      kernel.registerCommand(
        CLAIMS_SUPERSEDED,
        ({ superseded }, update) => checkClaims(update, superseded),
        CommandPriority.Normal,
      ),
      kernel.registerCommand(
        PEER_MESSAGE_RECEIVED,
        ({ message }, update) => {
          if (message.kind === PeerMessageKind.Heartbeat) {
            checkClaims(update, [...message.superseded, ...message.owned]);
          }
        },
        CommandPriority.High,
      ),
      kernel.registerCommand(
        UNIT_SUPERSEDED,
        ({ unit, epoch }, update) => checkClaims(update, [{ unit, epoch }]),
        CommandPriority.Normal,
      ),
      kernel.registerCommand(
        STOP_REQUESTED,
        (_payload, update) => startStop(update),
        CommandPriority.Low,
      ),
    ];
  }
}

function claimUnits(update: Update): void {
  const claims = update.write(CLAIMS);
  claims.startedAt ??= update.now;
  trackAlive(update, claims);
  if (isStopping(update)) {
    finishStop(update, claims);
    return;
  }
  const hasListened = update.now - claims.startedAt >= PEER_TIMEOUT_MS;
  const { scannedAt } = update.read(OWNERSHIP);
  if (!hasListened || update.now - scannedAt > PEER_TIMEOUT_MS) {
    return;
  }
  const candidates = listCandidates(update);
  for (const needed of neededUnits(update, claims)) {
    if (claims.inFlight.size >= MAX_CLAIMS_IN_FLIGHT) {
      return;
    }
    if (shouldClaim(update, claims, { needed, candidates })) {
      claim(update, claims, needed.unit);
    }
  }
}

interface ClaimChoice {
  readonly needed: NeededUnit;
  readonly candidates: readonly Candidate[];
}

function shouldClaim(
  update: Update,
  claims: ClaimState,
  { needed, candidates }: ClaimChoice,
): boolean {
  const { unit } = needed;
  if (update.read(OWNED).units.has(unit) || claims.inFlight.has(unit)) {
    return false;
  }
  const { nodeId } = update.service(NODE_IDENTITY);
  const owner = update.read(OWNERSHIP).rows.get(unit)?.row.owner ?? "";
  if (owner === nodeId) {
    return true; // An earlier process of this node owned it.
  }
  if (owner !== "" && isAlive(update, owner)) {
    return false;
  }
  return rankCandidates(candidates, needed)[0]?.nodeId === nodeId;
}

function claim(update: Update, claims: ClaimState, unit: string): void {
  const { nodeId } = update.service(NODE_IDENTITY);
  const known = update.read(OWNERSHIP).rows.get(unit);
  const row: OwnershipRow = {
    owner: nodeId,
    epoch: (known?.row.epoch ?? 0) + 1,
    successors: [],
  };
  const version = known?.version ?? 0;
  claims.inFlight.add(unit);
  emitRow(update, unit, {
    row,
    version,
    replyTo: replyTo(CLAIM_ANSWERED, {
      unit,
      row,
      version: version + 1,
      isFirstOwner: known === undefined,
    }),
  });
}

interface RowWrite {
  readonly row: OwnershipRow;
  readonly version: number;
  readonly replyTo: ReturnType<typeof replyTo<never, CommitResult>>;
}

function emitRow(update: Update, unit: string, write: RowWrite): void {
  const key = `${OWNERSHIP_PREFIX}${unit}`;
  update.emit(nodeEffect({
    kind: EffectKind.CommitTable,
    transaction: {
      checks: [{ key, version: write.version }],
      puts: [{ key, value: JSON.stringify(write.row) }],
      deletes: [],
    },
    replyTo: write.replyTo,
  }));
}

function settleClaim(
  update: Update,
  { unit, row, version, isFirstOwner }: ClaimContext,
  result: CommitResult,
): void {
  update.write(CLAIMS).inFlight.delete(unit);
  update.emit(count(`claims_${result.status.replaceAll("-", "_")}`));
  if (result.status !== StoreStatus.Ok) {
    return; // The next scan shows what the row has become.
  }
  const rows = update.write(OWNERSHIP).rows;
  const known = rows.get(unit);
  if (known !== undefined && known.version > version) {
    return; // Taken over already.
  }
  rows.set(unit, { row, version });
  acquire(update, unit, {
    epoch: row.epoch,
    version,
    acquiredAt: update.now,
    isFirstOwner,
  });
}

function acquire(update: Update, unit: string, owned: Owned): void {
  update.write(OWNED).units.set(unit, owned);
  update.emit(logChange("Unit acquired", { unit, epoch: owned.epoch }));
  update.dispatch(UNIT_ACQUIRED, { unit, owned });
  sendHeartbeat(update);
}

function lose(update: Update, unit: string): void {
  if (update.write(OWNED).units.delete(unit)) {
    update.emit(logChange("Unit lost", { unit }));
    update.dispatch(UNIT_LOST, { unit });
  }
}

/** Gives a unit up when its row names another owner. */
function checkRow(update: Update, unit: string): void {
  const owned = update.read(OWNED).units.get(unit);
  const row = update.read(OWNERSHIP).rows.get(unit)?.row;
  if (owned === undefined || row === undefined) {
    return;
  }
  const { nodeId } = update.service(NODE_IDENTITY);
  if (row.epoch > owned.epoch || row.owner !== nodeId) {
    lose(update, unit);
  }
}

/** Gives up the units that others hold under a higher epoch. */
function checkClaims(
  update: Update,
  claims: readonly { readonly unit: string; readonly epoch: number }[],
): void {
  for (const { unit, epoch } of claims) {
    const owned = update.read(OWNED).units.get(unit);
    if (owned !== undefined && owned.epoch < epoch) {
      lose(update, unit);
    }
  }
}

function confirm(update: Update, at: number): void {
  const owned = update.write(OWNED);
  owned.confirmedAt = Math.max(owned.confirmedAt, at);
}

/** Names this node's units to the schedulers that vouch for them. */
function composeClaims(owned: OwnedUnit[], update: Update): void {
  for (const [unit, { epoch }] of update.read(OWNED).units) {
    owned.push({ unit, epoch });
  }
}

function trackAlive(update: Update, claims: ClaimState): void {
  const alive = new Set(
    alivePeers(update.read(PEERS), update.now).map(
      (view) => view.heartbeat.nodeId,
    ),
  );
  for (const nodeId of [...claims.aliveSince.keys()]) {
    if (!alive.has(nodeId)) {
      claims.aliveSince.delete(nodeId);
    }
  }
  for (const nodeId of alive) {
    if (!claims.aliveSince.has(nodeId)) {
      claims.aliveSince.set(nodeId, update.now);
    }
  }
}

function isAlive(update: Update, nodeId: string): boolean {
  return update.read(CLAIMS).aliveSince.has(nodeId);
}

function listCandidates(update: Update): Candidate[] {
  const { nodeId, availabilityZone } = update.service(NODE_IDENTITY);
  const peers = alivePeers(update.read(PEERS), update.now)
    .filter((view) => !view.heartbeat.stopping)
    .map(({ heartbeat }) => ({
      nodeId: heartbeat.nodeId,
      availabilityZone: heartbeat.availabilityZone,
    }));
  return [{ nodeId, availabilityZone }, ...peers];
}

function neededUnits(
  update: Update,
  claims: ClaimState,
): readonly NeededUnit[] {
  const { current } = update.read(CONFIGURATION);
  if (claims.neededVersion !== current.version) {
    claims.neededVersion = current.version;
    claims.needed = listNeeded(current);
  }
  return claims.needed;
}

function listNeeded(configuration: Configuration): NeededUnit[] {
  const slices = sliceFleet(configuration.inventory).map((slice) => ({
    unit: sliceUnit(slice.sliceId),
    availabilityZone: slice.availabilityZone,
  }));
  const homes = configuration.rules.teams.map((team) => ({
    unit: homeUnit(team.name),
    availabilityZone: "",
  }));
  return [...slices, ...homes];
}

/** Hands one unit at a time to a preferred owner that has come up. */
function rebalance(update: Update): void {
  const claims = update.read(CLAIMS);
  if (isStopping(update)) {
    return;
  }
  const candidates = listCandidates(update).filter(({ nodeId }) =>
    isSettled(update, nodeId)
  );
  const { nodeId } = update.service(NODE_IDENTITY);
  const units = update.read(OWNED).units;
  const misplaced = claims.needed.find((needed) =>
    units.has(needed.unit) &&
    rankCandidates(candidates, needed)[0]?.nodeId !== nodeId
  );
  if (misplaced !== undefined) {
    release(update, misplaced.unit);
  }
}

function isSettled(update: Update, nodeId: string): boolean {
  if (nodeId === update.service(NODE_IDENTITY).nodeId) {
    return true;
  }
  const since = update.read(CLAIMS).aliveSince.get(nodeId) ?? Infinity;
  return update.now - since >= REBALANCE_AFTER_MS;
}

/** Stops acting on a unit, then leaves its row without an owner. */
function release(update: Update, unit: string): void {
  const owned = update.read(OWNED).units.get(unit);
  if (owned === undefined) {
    return;
  }
  lose(update, unit);
  update.write(CLAIMS).inFlight.add(unit);
  emitRow(update, unit, {
    row: { owner: "", epoch: owned.epoch, successors: [] },
    version: owned.version,
    replyTo: replyTo(RELEASE_ANSWERED, unit),
  });
}

function settleRelease(
  update: Update,
  unit: string,
  result: CommitResult,
): void {
  update.write(CLAIMS).inFlight.delete(unit);
  update.emit(count(`releases_${result.status.replaceAll("-", "_")}`));
}

function startStop(update: Update): void {
  const claims = update.write(CLAIMS);
  claims.stopRequestedAt ??= update.now;
  markStopping(update);
  for (const unit of [...update.read(OWNED).units.keys()]) {
    release(update, unit);
  }
}

function finishStop(update: Update, claims: ClaimState): void {
  const waited = update.now - (claims.stopRequestedAt ?? update.now);
  if (claims.inFlight.size === 0 || waited > RELEASE_TIMEOUT_MS) {
    update.emit(nodeEffect({ kind: EffectKind.Stopped }));
  }
}

registerPlugin({
  name: "claim",
  roles: [Role.Scheduler],
  create: () => new ClaimPlugin(),
});

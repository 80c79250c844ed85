import {
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
import {
  ALL_PEERS,
  type Heartbeat,
  NODE_IDENTITY,
  type OwnedUnit,
  PeerMessageKind,
  sendPeer,
  type SliceSummary,
  type TeamUsage,
} from "@mustardweir/protocol";
import { newestEpoch } from "./claims.ts";
import { OWNED } from "./owned.ts";
import { HEARTBEAT_MS, PEERS, type PeerView } from "./peers.ts";
import { mergeUsage } from "./usage.ts";

/** The parts of a heartbeat that other plug-ins fill in. */
export interface HeartbeatDraft {
  readonly slices: SliceSummary[];
  readonly usage: TeamUsage[];
}

/** Dispatched before each heartbeat; handlers add their parts. */
export const COMPOSE_HEARTBEAT = createCommand<HeartbeatDraft>(
  "compose-heartbeat",
);

interface HeartbeatState {
  stopping: boolean;
  /** The last heartbeat that this node sent. */
  own: PeerView | undefined;
}

const HEARTBEAT = createStateKey<HeartbeatState>("heartbeat");

/** Sends every peer this scheduler's units, free capacity and usage. */
export class HeartbeatPlugin extends Plugin {
  override readonly name = "heartbeat";

  override register(kernel: Kernel): Undo {
    return mergeUndo(
      kernel.registerState(HEARTBEAT, { stopping: false, own: undefined }),
      kernel.registerPeriodic({ intervalMs: HEARTBEAT_MS, run: sendHeartbeat }),
    );
  }
}

/** Marks this node as stopping in this and all later heartbeats. */
export function markStopping(update: Update): void {
  update.write(HEARTBEAT).stopping = true;
  sendHeartbeat(update);
}

/** Returns true after {@link markStopping}. */
export function isStopping(update: Update): boolean {
  return update.read(HEARTBEAT).stopping;
}

/** Sends a heartbeat to every peer immediately. */
export function sendHeartbeat(update: Update): void {
  const heartbeat = composeHeartbeat(update);
  update.write(HEARTBEAT).own = { heartbeat, receivedAt: update.now };
  update.emit(sendPeer(ALL_PEERS, heartbeat));
}

/** Returns the latest heartbeat of every scheduler, including this one. */
export function latestHeartbeats(update: Update): PeerView[] {
  const { own } = update.read(HEARTBEAT);
  const others = [...update.read(PEERS).views.values()];
  return own === undefined ? others : [...others, own];
}

function composeHeartbeat(update: Update): Heartbeat {
  const identity = update.service(NODE_IDENTITY);
  const draft: HeartbeatDraft = { slices: [], usage: [] };
  update.dispatch(COMPOSE_HEARTBEAT, draft);
  return {
    kind: PeerMessageKind.Heartbeat,
    nodeId: identity.nodeId,
    incarnation: identity.incarnation,
    availabilityZone: identity.availabilityZone,
    configurationVersion: update.read(CONFIGURATION).current.version,
    stopping: update.read(HEARTBEAT).stopping,
    owned: ownedUnits(update),
    superseded: supersededClaims(update),
    slices: draft.slices,
    usage: mergeUsage(draft.usage),
  };
}

function ownedUnits(update: Update): OwnedUnit[] {
  return [...update.read(OWNED).units].map(([unit, { epoch }]) => ({
    unit,
    epoch,
  }));
}

/** Returns peers' units with the higher epoch that supersedes their claim. */
function supersededClaims(update: Update): OwnedUnit[] {
  const claims = [...update.read(PEERS).views.values()].flatMap(
    (view) => view.heartbeat.owned,
  );
  return claims
    .filter(({ unit, epoch }) => epoch < newestEpoch(update, unit))
    .map(({ unit }) => ({ unit, epoch: newestEpoch(update, unit) }));
}

registerPlugin({
  name: "heartbeat",
  roles: [Role.Scheduler],
  create: () => new HeartbeatPlugin(),
});

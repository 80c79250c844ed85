import {
  CommandPriority,
  type Kernel,
  mergeUndo,
  Plugin,
  registerPlugin,
  Role,
  type Undo,
  type Update,
} from "@mustardweir/kernel";
import {
  gauge,
  GAUGE_INTERVAL_MS,
  PEER_MESSAGE_RECEIVED,
  PeerMessageKind,
} from "@mustardweir/protocol";
import {
  FOLLOWER_INTERVAL_MS,
  isFollower,
  NODES_CHANGED,
} from "@mustardweir/replica";
import { TENURE_GAINED, TENURE_LOST } from "@mustardweir/tenure";
import { PERMITS, type Permits } from "./permits_state.ts";
import {
  expireQueries,
  handlePolicyResult,
  handleQueryResult,
  POLICY_ANSWERED,
  queryPolicy,
  requeueLostQueries,
} from "./queries.ts";

/** Interval at which overdue permit queries are checked, in milliseconds. */
const EXPIRY_CHECK_INTERVAL_MS = 40;
/**
 * Size of each epoch's range of request ids, so that ids of different epochs
 * never collide.
 */
const REQUESTS_PER_EPOCH = 1_000_000;

/** Queries the external placement policy through all nodes. */
export class PermitsPlugin extends Plugin {
  override readonly name = "permits";

  override register(kernel: Kernel): Undo {
    const { Normal, High } = CommandPriority;
    return mergeUndo(
      kernel.registerState(PERMITS, createPermits()),
      kernel.registerCommand(
        TENURE_GAINED,
        ({ epoch }, update) => {
          clearPermits(update);
          update.write(PERMITS).lastRequestId = epoch * REQUESTS_PER_EPOCH;
        },
        High,
      ),
      kernel.registerCommand(
        TENURE_LOST,
        (_, update) => clearPermits(update),
        Normal,
      ),
      kernel.registerCommand(
        PEER_MESSAGE_RECEIVED,
        ({ from, message }, update) => {
          if (message.kind === PeerMessageKind.PermitRequest) {
            queryPolicy(update, from, message);
          } else if (message.kind === PeerMessageKind.PermitReply) {
            handleQueryResult(update, message);
          }
        },
        Normal,
      ),
      kernel.registerCommand(
        NODES_CHANGED,
        (_, update) => requeueLostQueries(update),
        Normal,
      ),
      kernel.registerCommand(
        POLICY_ANSWERED,
        (reply, update) => handlePolicyResult(update, reply),
        Normal,
      ),
      kernel.registerPeriodic({
        intervalMs: EXPIRY_CHECK_INTERVAL_MS,
        run: expireQueries,
        isIdle: isFollower,
        idleIntervalMs: FOLLOWER_INTERVAL_MS,
      }),
      kernel.registerPeriodic({
        intervalMs: GAUGE_INTERVAL_MS,
        run: (update) => {
          const { waiting, calls } = update.read(PERMITS);
          update.emit(gauge("permit-questions-waiting", waiting.length));
          update.emit(gauge("permit-questions-asked", calls.size));
        },
      }),
    );
  }
}

function createPermits(): Permits {
  return {
    stages: new Map(),
    waiting: [],
    calls: new Map(),
    backoffUntilMs: new Map(),
    failures: new Map(),
    lastRequestId: 0,
    shortQueryMs: 0,
    shortQueryUpdatedMs: 0,
  };
}

function clearPermits(update: Update): void {
  const permits = update.write(PERMITS);
  permits.stages.clear();
  permits.waiting.length = 0;
  permits.calls.clear();
}

registerPlugin({
  name: "permits",
  roles: [Role.Combined],
  create: () => new PermitsPlugin(),
});

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
  logChange,
  PROCESS_SUSPENDED,
  STOP_REQUESTED,
} from "@mustardweir/protocol";
import {
  FOLLOWER_INTERVAL_MS,
  isFollower,
  NODES_CHANGED,
  STORE_CLOCK_READ,
  SUMMARY_WANTED,
  TENURE_SEEN,
} from "@mustardweir/replica";
import {
  applyTenureRecord,
  CLAIM_ANSWERED,
  claimIfDue,
  finishOpening,
  handleClaimResult,
} from "./claims.ts";
import {
  COMMIT_ANSWERED,
  handleCommitResult,
  resendCommit,
  sendNextCommit,
} from "./commits.ts";
import { connectNodes, registerNode, REGISTRATION_ANSWERED } from "./nodes.ts";
import { measureLag, releaseIfSlow } from "./lag.ts";
import { addStandbys, becomeStandbyIfDue } from "./standby.ts";
import { isOwner, TENURE, TenurePhase } from "./tenure_state.ts";

/** Interval at which due claims, commits and retries are sent, in ms. */
const TICK_MS = 20;
/** Interval at which a node renews its record, in milliseconds. */
const REGISTER_INTERVAL_MS = 2_000;
/** Interval at which a node checks whether to be a standby, in ms. */
const STANDBY_CHECK_INTERVAL_MS = 100;
/** Assumed duration of a commit until one is measured, in milliseconds. */
const INITIAL_COMMIT_MS = 40;

/**
 * Claims and holds ownership of the scheduling domain under an epoch, and
 * commits changes of its records to the store.
 */
export class TenurePlugin extends Plugin {
  override readonly name = "tenure";

  override register(kernel: Kernel): Undo {
    const { High, Low, Normal } = CommandPriority;
    return mergeUndo(
      kernel.registerState(TENURE, {
        phase: TenurePhase.Follower,
        epoch: 0,
        openedVersion: 0,
        version: 0,
        sequence: 0,
        confirmedMs: 0,
        queue: [],
        maxChanges: Infinity,
        lastTicket: 0,
        inFlight: undefined,
        commitMs: INITIAL_COMMIT_MS,
        retryMs: 0,
        isStopping: false,
        isReleasing: false,
        gainedMs: 0,
        lostMs: undefined,
        lagMs: 0,
        stalledMs: 0,
        slowHandovers: 0,
        closesSince: 0,
        claimedMs: undefined,
        startedMs: Infinity,
        lastTickMs: 0,
      }),
      kernel.registerCommand(
        TENURE_SEEN,
        (known, update) => applyTenureRecord(update, known),
        Normal,
      ),
      kernel.registerCommand(
        CLAIM_ANSWERED,
        (reply, update) => handleClaimResult(update, reply),
        Normal,
      ),
      kernel.registerCommand(
        COMMIT_ANSWERED,
        (reply, update) => handleCommitResult(update, reply),
        Normal,
      ),
      kernel.registerCommand(
        SUMMARY_WANTED,
        (draft, update) => addStandbys(update, draft),
        Normal,
      ),
      kernel.registerCommand(REGISTRATION_ANSWERED, () => {}, Low),
      kernel.registerCommand(
        STORE_CLOCK_READ,
        (_, update) => registerUnlessStopping(update),
        Normal,
      ),
      kernel.registerCommand(
        NODES_CHANGED,
        (_, update) => connectNodes(update),
        Normal,
      ),
      kernel.registerCommand(
        PROCESS_SUSPENDED,
        ({ forMs }, update) => {
          // The last confirmation is older than the steady clock tells.
          update.write(TENURE).confirmedMs -= forMs;
          update.emit(logChange("Clock jumped or machine was suspended", {
            forMs: Math.round(forMs),
          }));
        },
        High,
      ),
      kernel.registerCommand(
        STOP_REQUESTED,
        (_, update) => {
          const tenure = update.write(TENURE);
          tenure.isStopping = true;
          tenure.isReleasing = true;
        },
        High,
      ),
      kernel.registerPeriodic({
        intervalMs: TICK_MS,
        isIdle: isFollower,
        idleIntervalMs: FOLLOWER_INTERVAL_MS,
        run: (update) => {
          const tenure = update.write(TENURE);
          tenure.startedMs = Math.min(tenure.startedMs, update.now);
          measureLag(
            update,
            isFollower(update) ? FOLLOWER_INTERVAL_MS : TICK_MS,
          );
          releaseIfSlow(update);
          claimIfDue(update);
          finishOpening(update);
          resendCommit(update);
          sendNextCommit(update);
        },
      }),
      kernel.registerPeriodic({
        intervalMs: STANDBY_CHECK_INTERVAL_MS,
        run: becomeStandbyIfDue,
      }),
      kernel.registerPeriodic({
        intervalMs: REGISTER_INTERVAL_MS,
        run: (update) => {
          registerUnlessStopping(update);
          connectNodes(update);
          const { epoch } = update.read(TENURE);
          update.emit(gauge("owns-domain", isOwner(update) ? 1 : 0));
          update.emit(gauge("domain-epoch", epoch));
        },
      }),
    );
  }
}

function registerUnlessStopping(update: Update): void {
  if (!update.read(TENURE).isStopping) {
    registerNode(update);
  }
}

registerPlugin({
  name: "tenure",
  roles: [Role.Combined],
  create: () => new TenurePlugin(),
});

import {
  CommandPriority,
  type Kernel,
  mergeUndo,
  Plugin,
  registerPlugin,
  Role,
  type Undo,
} from "@mustardweir/kernel";
import { gauge, STOP_REQUESTED } from "@mustardweir/protocol";
import { NODES_CHANGED, TENURE_SEEN } from "@mustardweir/replica";
import {
  CLAIM_ANSWERED,
  claimAnswered,
  considerClaim,
  considerOpening,
  tenureSeen,
} from "./claims.ts";
import {
  COMMIT_ANSWERED,
  commitAnswered,
  pumpCommits,
  resendCommit,
} from "./commits.ts";
import { connectNodes, registerNode, REGISTRATION_ANSWERED } from "./nodes.ts";
import { considerRelease, measureLag } from "./lag.ts";
import { isOwner, TENURE, TenurePhase } from "./tenure_state.ts";

/** How often claims, beats and repeats are looked at, in milliseconds. */
const TICK_MS = 20;
/** How often a node renews its record, in milliseconds. */
const REGISTER_MS = 2_000;
/** Time of a commit before one was measured, in milliseconds. */
const FIRST_COMMIT_MS = 40;

/** Owns the scheduling domain under an epoch and makes its changes durable. */
export class TenurePlugin extends Plugin {
  override readonly name = "tenure";

  override register(kernel: Kernel): Undo {
    const { Low, Normal } = CommandPriority;
    return mergeUndo(
      kernel.registerState(TENURE, {
        phase: TenurePhase.Follower,
        epoch: 0,
        openedVersion: 0,
        version: 0,
        sequence: 0,
        confirmedMs: 0,
        queue: [],
        lastTicket: 0,
        inFlight: undefined,
        commitMs: FIRST_COMMIT_MS,
        retryMs: 0,
        isStopping: false,
        isReleasing: false,
        gainedMs: 0,
        lagMs: 0,
        lastTickMs: 0,
      }),
      kernel.registerCommand(
        TENURE_SEEN,
        (known, update) => tenureSeen(update, known),
        Normal,
      ),
      kernel.registerCommand(
        CLAIM_ANSWERED,
        (answer, update) => claimAnswered(update, answer),
        Normal,
      ),
      kernel.registerCommand(
        COMMIT_ANSWERED,
        (answer, update) => commitAnswered(update, answer),
        Normal,
      ),
      kernel.registerCommand(REGISTRATION_ANSWERED, () => {}, Low),
      kernel.registerCommand(
        NODES_CHANGED,
        (_, update) => connectNodes(update),
        Normal,
      ),
      kernel.registerCommand(
        STOP_REQUESTED,
        (_, update) => {
          const tenure = update.write(TENURE);
          tenure.isStopping = true;
          tenure.isReleasing = true;
        },
        CommandPriority.High,
      ),
      kernel.registerPeriodic({
        intervalMs: TICK_MS,
        run: (update) => {
          measureLag(update, TICK_MS);
          considerRelease(update);
          considerClaim(update);
          considerOpening(update);
          resendCommit(update);
          pumpCommits(update);
        },
      }),
      kernel.registerPeriodic({
        intervalMs: REGISTER_MS,
        run: (update) => {
          if (!update.read(TENURE).isStopping) {
            registerNode(update);
          }
          connectNodes(update);
          const { epoch } = update.read(TENURE);
          update.emit(gauge("owns-domain", isOwner(update) ? 1 : 0));
          update.emit(gauge("domain-epoch", epoch));
        },
      }),
    );
  }
}

registerPlugin({
  name: "tenure",
  roles: [Role.Combined],
  create: () => new TenurePlugin(),
});

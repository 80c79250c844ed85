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
  GAUGES_MS,
  PEER_MESSAGE_RECEIVED,
  PeerMessageKind,
} from "@mustardweir/protocol";
import { NODES_CHANGED } from "@mustardweir/replica";
import { TENURE_GAINED, TENURE_LOST } from "@mustardweir/tenure";
import { PERMITS, type Permits } from "./permits_state.ts";
import {
  askForPeer,
  expireQuestions,
  nodesChanged,
  POLICY_ANSWERED,
  policyAnswered,
  questionAnswered,
} from "./questions.ts";

/** How often overdue questions are looked at, in milliseconds. */
const TICK_MS = 40;
/** Request numbers of an epoch start here, apart from those of others. */
const REQUESTS_PER_EPOCH = 1_000_000;

/** Asks the external placement policy, through all nodes. */
export class PermitsPlugin extends Plugin {
  override readonly name = "permits";

  override register(kernel: Kernel): Undo {
    const { Normal, High } = CommandPriority;
    return mergeUndo(
      kernel.registerState(PERMITS, createPermits()),
      kernel.registerCommand(
        TENURE_GAINED,
        ({ epoch }, update) => {
          clear(update);
          update.write(PERMITS).lastRequest = epoch * REQUESTS_PER_EPOCH;
        },
        High,
      ),
      kernel.registerCommand(TENURE_LOST, (_, update) => clear(update), Normal),
      kernel.registerCommand(
        PEER_MESSAGE_RECEIVED,
        ({ from, message }, update) => {
          if (message.kind === PeerMessageKind.PermitRequest) {
            askForPeer(update, from, message);
          } else if (message.kind === PeerMessageKind.PermitReply) {
            questionAnswered(update, message);
          }
        },
        Normal,
      ),
      kernel.registerCommand(
        NODES_CHANGED,
        (_, update) => nodesChanged(update),
        Normal,
      ),
      kernel.registerCommand(
        POLICY_ANSWERED,
        (answer, update) => policyAnswered(update, answer),
        Normal,
      ),
      kernel.registerPeriodic({ intervalMs: TICK_MS, run: expireQuestions }),
      kernel.registerPeriodic({
        intervalMs: GAUGES_MS,
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
    sparedUntilMs: new Map(),
    lastRequest: 0,
    shortMs: 0,
    shortAtMs: 0,
  };
}

function clear(update: Update): void {
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

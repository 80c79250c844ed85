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
import { CONFIGURATION_CHANGED } from "@mustardweir/configuration";
import {
  COMPOSE_CLAIMS,
  COMPOSE_HEARTBEAT,
  type Owned,
  sliceUnit,
  UNIT_ACQUIRED,
  UNIT_LOST,
} from "@mustardweir/membership";
import {
  PEER_MESSAGE_RECEIVED,
  type PeerMessage,
  PeerMessageKind,
} from "@mustardweir/protocol";
import {
  receiveAsks,
  receiveCommit,
  receiveFence,
  receiveStops,
  receiveWithdrawal,
  tellInventory,
} from "./asks.ts";
import { drain } from "./drain.ts";
import { beginStart, grantRoom, serveClaims } from "./grant.ts";
import {
  createSlice,
  dropRetired,
  findSliceSpec,
  followInventory,
  isComplete,
  takeBackStarts,
  updateEligibility,
} from "./instances.ts";
import { preempt } from "./preempt.ts";
import { reserveRoom } from "./reserve.ts";
import { noteRoom, type Slice, SLICES } from "./slice_state.ts";
import {
  describeSlices,
  expireAsks,
  retellEnds,
  sendAnswers,
  tellEnds,
} from "./telling.ts";
import {
  acknowledgeEnds,
  applySync,
  awaitsMajority,
  checkWorkers,
} from "./workers.ts";
import { callWorkers, TARGET_SYNCED } from "./target_calls.ts";

/** Time between looks at silent workers and late asks, in milliseconds. */
const UPKEEP_MS = 100;

/** Time between steps of a drain, in milliseconds. */
const DRAIN_STEP_MS = 500;

const SLICE_PREFIX = sliceUnit("");

/** Keeps slices of instances: grants room, holds leases, recovers by asking. */
export class SlicePlugin extends Plugin {
  override readonly name = "slice";

  override register(kernel: Kernel): Undo {
    const { Normal } = CommandPriority;
    return mergeUndo(
      kernel.registerState(SLICES, {
        slices: new Map(),
        dues: undefined,
      }),
      kernel.registerCommand(UNIT_ACQUIRED, acquire, Normal),
      kernel.registerCommand(UNIT_LOST, lose, Normal),
      kernel.registerCommand(CONFIGURATION_CHANGED, followEdit, Normal),
      kernel.registerCommand(
        TARGET_SYNCED,
        (answer, update) => {
          const { sliceId, epoch } = answer.context;
          withSlice(update, sliceId, (slice) => {
            if (slice.epoch === epoch) {
              applySync(update, slice, answer);
            }
          });
        },
        Normal,
      ),
      kernel.registerCommand(
        PEER_MESSAGE_RECEIVED,
        ({ from, message }, update) => receive(update, from, message),
        Normal,
      ),
      kernel.registerCommand(
        COMPOSE_HEARTBEAT,
        (draft, update) => describeSlices(update, draft),
        Normal,
      ),
      kernel.registerCommand(
        COMPOSE_CLAIMS,
        (draft, update) => {
          const slices = [...update.read(SLICES).slices.values()];
          draft.isNeeded ||= slices.some(awaitsMajority);
        },
        Normal,
      ),
      kernel.registerPeriodic({ intervalMs: UPKEEP_MS, run: upkeep }),
      kernel.registerPeriodic({ intervalMs: DRAIN_STEP_MS, run: drainSlices }),
    );
  }
}

interface Acquired {
  readonly unit: string;
  readonly owned: Owned;
}

function acquire({ unit, owned }: Acquired, update: Update): void {
  if (!unit.startsWith(SLICE_PREFIX)) {
    return;
  }
  const spec = findSliceSpec(update, unit.slice(SLICE_PREFIX.length));
  if (spec !== undefined) {
    const slice = createSlice(update, spec, owned);
    update.write(SLICES).slices.set(spec.sliceId, slice);
    settleAll(update, slice);
  }
}

function lose({ unit }: { readonly unit: string }, update: Update): void {
  if (unit.startsWith(SLICE_PREFIX)) {
    update.write(SLICES).slices.delete(unit.slice(SLICE_PREFIX.length));
  }
}

function followEdit(_change: unknown, update: Update): void {
  for (const slice of update.write(SLICES).slices.values()) {
    const spec = findSliceSpec(update, slice.sliceId);
    followInventory(slice, spec ?? emptySpec(slice));
    settleAll(update, slice);
  }
}

function emptySpec({ sliceId, availabilityZone }: Slice) {
  return { sliceId, availabilityZone, region: "", instances: [] };
}

function receive(update: Update, from: string, message: PeerMessage): void {
  switch (message.kind) {
    case PeerMessageKind.FenceHome:
      withSlice(
        update,
        message.sliceId,
        (slice) => receiveFence(update, slice, { from, message }),
      );
      break;
    case PeerMessageKind.AskRoom:
      withSlice(
        update,
        message.sliceId,
        (slice) => receiveAsks(update, slice, { from, message }),
      );
      break;
    case PeerMessageKind.WithdrawAsks:
      withSlice(
        update,
        message.sliceId,
        (slice) => receiveWithdrawal(update, slice, { from, message }),
      );
      break;
    case PeerMessageKind.CommitHolds:
      withSlice(
        update,
        message.sliceId,
        (slice) =>
          receiveCommit(update, slice, { from, message }).forEach((task) =>
            beginStart(update, slice, task)
          ),
      );
      break;
    case PeerMessageKind.StopTasks:
      withSlice(
        update,
        message.sliceId,
        (slice) => receiveStops(update, slice, { from, message }),
      );
      break;
    case PeerMessageKind.TaskEventsAck:
      withSlice(
        update,
        message.sliceId,
        (slice) => acknowledgeEnds(slice, message.taskIds),
      );
      break;
    default:
      break;
  }
}

/** Acts on a slice of this node and then on what follows from it. */
function withSlice(
  update: Update,
  sliceId: string,
  act: (slice: Slice) => void,
): void {
  const slice = update.write(SLICES).slices.get(sliceId);
  if (slice !== undefined) {
    act(slice);
    settle(update, slice);
  }
}

/** Looks at every worker, also at those that no event was about. */
function settleAll(update: Update, slice: Slice): void {
  for (const worker of slice.workers.values()) {
    slice.touched.add(worker);
  }
  noteRoom(slice); // The policy may have overlooked some.
  settle(update, slice);
}

/**
 * Grants what fits now, then sends calls, answers and ends. A worker that a
 * grant touches is called now and looked at again with the next event.
 */
function settle(update: Update, slice: Slice): void {
  serveClaims(update, slice);
  const changed = [...slice.touched];
  slice.touched.clear();
  updateEligibility(update, slice, changed);
  takeBackStarts(update, slice, changed);
  noteCompletion(update, slice);
  grantRoom(update, slice);
  callWorkers(update, slice, new Set([...changed, ...slice.touched]));
  tellEnds(update, slice);
  sendAnswers(update, slice);
}

function noteCompletion(update: Update, slice: Slice): void {
  if (slice.complete || !isComplete(slice)) {
    return;
  }
  slice.complete = true;
  for (const view of slice.teams.values()) {
    if (view.homeNode !== "") {
      tellInventory(update, slice, view);
    }
  }
}

function upkeep(update: Update): void {
  for (const slice of update.write(SLICES).slices.values()) {
    checkWorkers(update, slice);
    expireAsks(update, slice);
    dropRetired(slice);
    retellEnds(update, slice);
    preempt(update, slice);
    reserveRoom(update, slice);
    settleAll(update, slice);
  }
}

function drainSlices(update: Update): void {
  for (const slice of update.write(SLICES).slices.values()) {
    drain(update, slice);
    settle(update, slice);
  }
}

registerPlugin({
  name: "slice",
  roles: [Role.Scheduler],
  create: () => new SlicePlugin(),
});

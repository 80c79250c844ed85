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
  sendInventory,
} from "./home_messages.ts";
import { drain } from "./drain.ts";
import { beginStart, grantRoom, serveReservations } from "./grant.ts";
import {
  applyInventory,
  createSlice,
  findSliceSpec,
  isComplete,
  removeRetired,
  revokeStarts,
  updateEligibility,
} from "./instances.ts";
import { preempt } from "./preempt.ts";
import { reserveForGangs } from "./reserve.ts";
import { noteRoomFreed, type Slice, SLICES } from "./slice_state.ts";
import {
  describeSlices,
  expireAsks,
  queueOverdueReports,
  reportEnds,
  sendAnswers,
} from "./reports.ts";
import {
  acknowledgeEnds,
  applySync,
  awaitsMajority,
  checkWorkers,
} from "./workers.ts";
import { callWorkers, TARGET_SYNCED } from "./target_calls.ts";

/** Interval of checks for silent workers and expired asks, in ms. */
const MAINTENANCE_INTERVAL_MS = 100;

/** Interval between the steps of a drain, in milliseconds. */
const DRAIN_INTERVAL_MS = 500;

const SLICE_PREFIX = sliceUnit("");

/**
 * Runs the slices that this node owns: grants room on their instances, renews
 * the workers' leases, and after a change of owner rebuilds the state of a
 * slice from the replies of its workers.
 */
export class SlicePlugin extends Plugin {
  override readonly name = "slice";

  override register(kernel: Kernel): Undo {
    const { Normal } = CommandPriority;
    return mergeUndo(
      kernel.registerState(SLICES, {
        slices: new Map(),
        entitledShares: undefined,
      }),
      kernel.registerCommand(UNIT_ACQUIRED, handleAcquired, Normal),
      kernel.registerCommand(UNIT_LOST, handleLost, Normal),
      kernel.registerCommand(CONFIGURATION_CHANGED, applyConfiguration, Normal),
      kernel.registerCommand(
        TARGET_SYNCED,
        (reply, update) => {
          const { sliceId, epoch } = reply.context;
          withSlice(update, sliceId, (slice) => {
            if (slice.epoch === epoch) {
              applySync(update, slice, reply);
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
      kernel.registerPeriodic({
        intervalMs: MAINTENANCE_INTERVAL_MS,
        run: runMaintenance,
      }),
      kernel.registerPeriodic({
        intervalMs: DRAIN_INTERVAL_MS,
        run: drainSlices,
      }),
    );
  }
}

interface Acquired {
  readonly unit: string;
  readonly owned: Owned;
}

function handleAcquired({ unit, owned }: Acquired, update: Update): void {
  if (!unit.startsWith(SLICE_PREFIX)) {
    return;
  }
  const spec = findSliceSpec(update, unit.slice(SLICE_PREFIX.length));
  if (spec !== undefined) {
    const slice = createSlice(update, spec, owned);
    update.write(SLICES).slices.set(spec.sliceId, slice);
    reconcileAll(update, slice);
  }
}

function handleLost({ unit }: { readonly unit: string }, update: Update): void {
  if (unit.startsWith(SLICE_PREFIX)) {
    update.write(SLICES).slices.delete(unit.slice(SLICE_PREFIX.length));
  }
}

function applyConfiguration(_change: unknown, update: Update): void {
  for (const slice of update.write(SLICES).slices.values()) {
    const spec = findSliceSpec(update, slice.sliceId);
    applyInventory(slice, spec ?? emptySpec(slice));
    reconcileAll(update, slice);
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

/** Runs `act` on a slice if this node owns it, and reconciles the slice. */
function withSlice(
  update: Update,
  sliceId: string,
  act: (slice: Slice) => void,
): void {
  const slice = update.write(SLICES).slices.get(sliceId);
  if (slice !== undefined) {
    act(slice);
    reconcile(update, slice);
  }
}

/** Reconciles the slice with every worker marked as changed. */
function reconcileAll(update: Update, slice: Slice): void {
  for (const worker of slice.workers.values()) {
    slice.dirtyWorkers.add(worker);
  }
  noteRoomFreed(slice); // A bounded search may have missed room.
  reconcile(update, slice);
}

/**
 * Updates the slice after an event: grants room, then sends calls to workers
 * and answers and ends to homes. A worker that a grant changes is called now;
 * its eligibility is updated with the next event.
 */
function reconcile(update: Update, slice: Slice): void {
  serveReservations(update, slice);
  const changed = [...slice.dirtyWorkers];
  slice.dirtyWorkers.clear();
  updateEligibility(update, slice, changed);
  revokeStarts(update, slice, changed);
  recordCompletion(update, slice);
  grantRoom(update, slice);
  callWorkers(update, slice, new Set([...changed, ...slice.dirtyWorkers]));
  reportEnds(update, slice);
  sendAnswers(update, slice);
}

function recordCompletion(update: Update, slice: Slice): void {
  if (slice.complete || !isComplete(slice)) {
    return;
  }
  slice.complete = true;
  for (const view of slice.teams.values()) {
    if (view.homeNode !== "") {
      sendInventory(update, slice, view);
    }
  }
}

function runMaintenance(update: Update): void {
  for (const slice of update.write(SLICES).slices.values()) {
    checkWorkers(update, slice);
    expireAsks(update, slice);
    removeRetired(slice);
    queueOverdueReports(update, slice);
    preempt(update, slice);
    reserveForGangs(update, slice);
    reconcileAll(update, slice);
  }
}

function drainSlices(update: Update): void {
  for (const slice of update.write(SLICES).slices.values()) {
    drain(update, slice);
    reconcile(update, slice);
  }
}

registerPlugin({
  name: "slice",
  roles: [Role.Scheduler],
  create: () => new SlicePlugin(),
});

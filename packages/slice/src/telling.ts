import type { Update } from "@mustardweir/kernel";
import type { HeartbeatDraft } from "@mustardweir/membership";
import { addResources, NO_RESOURCES, type Resources } from "@mustardweir/model";
import {
  DeclineReason,
  PeerMessageKind,
  sendPeer,
  type TaskEvent,
  TaskPhase,
} from "@mustardweir/protocol";
import { addressOf } from "./asks.ts";
import { countWaiting } from "./demand.ts";
import { mayGrant } from "./grant.ts";
import { type Slice, SLICES, type SliceTask } from "./slice_state.ts";
import { cancelStart, takeBackStart } from "./tasks.ts";
import { declineAsk } from "./team_view.ts";

/** Ends that were not acknowledged are told again after this time. */
const RETELL_MS = 1_000;

/** Sends the answers that have gathered, one message a home. */
export function sendAnswers(update: Update, slice: Slice): void {
  for (const [team, answers] of slice.outbox) {
    const view = slice.teams.get(team);
    if (view !== undefined && view.homeNode !== "") {
      update.emit(sendPeer(view.homeNode, {
        kind: PeerMessageKind.RoomAnswer,
        ...addressOf(slice, view),
        answers,
      }));
    }
  }
  slice.outbox.clear();
}

/** Tells homes again of ends that they have not acknowledged. */
export function retellEnds(update: Update, slice: Slice): void {
  for (const task of slice.ended) {
    if (update.now - task.toldAt >= RETELL_MS) {
      slice.untold.add(task);
    }
  }
}

/** Tells homes of ends that they have not been told of. */
export function tellEnds(update: Update, slice: Slice): void {
  const byTeam = new Map<string, TaskEvent[]>();
  for (const task of slice.untold) {
    const home = slice.teams.get(task.task.team)?.homeNode ?? "";
    if (home !== "") {
      slice.untold.delete(task);
      task.toldAt = update.now;
      const events = byTeam.get(task.task.team) ?? [];
      events.push(describeEnd(task));
      byTeam.set(task.task.team, events);
    }
  }
  for (const [team, events] of byTeam) {
    sendEvents(update, slice, { team, events });
  }
}

interface TeamEvents {
  readonly team: string;
  readonly events: readonly TaskEvent[];
}

function sendEvents(
  update: Update,
  slice: Slice,
  { team, events }: TeamEvents,
): void {
  const view = slice.teams.get(team);
  if (view !== undefined) {
    update.emit(sendPeer(view.homeNode, {
      kind: PeerMessageKind.TaskEvents,
      ...addressOf(slice, view),
      events,
    }));
  }
}

function describeEnd({ task, worker, end }: SliceTask): TaskEvent {
  return {
    task,
    phase: TaskPhase.Ended,
    instanceId: worker.instanceId,
    ...(end === undefined ? {} : { end }),
  };
}

/** Takes back asks, holds and starts that have waited too long. */
export function expireAsks(update: Update, slice: Slice): void {
  const reason = DeclineReason.NoRoom;
  for (const view of slice.teams.values()) {
    for (const { ask, expiresAt } of [...view.queue.values()]) {
      if (update.now >= expiresAt) {
        const { seq, task: { taskId } } = ask;
        declineAsk(slice, view, { seq, taskId, reason });
      }
    }
  }
  for (const task of [...slice.tasks.values()]) {
    if (update.now < task.startBy) {
      continue;
    }
    if (task.phase === TaskPhase.Held) {
      cancelStart(update, slice, { task, reason });
    } else {
      takeBackStart(task, reason);
    }
  }
}

/** Adds this node's slices and its teams' usage to a heartbeat. */
export function describeSlices(update: Update, draft: HeartbeatDraft): void {
  const usage = new Map<string, Resources>();
  for (const slice of update.read(SLICES).slices.values()) {
    const { sliceId, epoch, table } = slice;
    draft.slices.push({
      sliceId,
      epoch,
      free: mayGrant(update, slice) ? table.totalFree() : NO_RESOURCES,
      total: table.totalCapacity(),
      waiting: countWaiting(slice),
    });
    for (const { team, used } of slice.teams.values()) {
      usage.set(team, addResources(usage.get(team) ?? NO_RESOURCES, used));
    }
  }
  for (const [team, used] of usage) {
    draft.usage.push({ team, used });
  }
}

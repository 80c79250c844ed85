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
import { addressOf } from "./home_messages.ts";
import { countWaiting } from "./demand.ts";
import { mayGrant } from "./grant.ts";
import { type Slice, SLICES, type SliceTask } from "./slice_state.ts";
import { cancelStart, revokeStart } from "./tasks.ts";
import { declineAsk } from "./team_view.ts";

/** Time after which an unacknowledged end is reported again, in milliseconds. */
const REPORT_RETRY_MS = 1_000;

/** Sends the collected answers, one message to each home. */
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

/** Queues reports of ends that homes have not acknowledged in time. */
export function queueOverdueReports(update: Update, slice: Slice): void {
  for (const task of slice.ended) {
    if (update.now - task.endReportedAt >= REPORT_RETRY_MS) {
      slice.unreported.add(task);
    }
  }
}

/** Reports the queued ends to the homes. */
export function reportEnds(update: Update, slice: Slice): void {
  const byTeam = new Map<string, TaskEvent[]>();
  for (const task of slice.unreported) {
    const home = slice.teams.get(task.task.team)?.homeNode ?? "";
    if (home !== "") {
      slice.unreported.delete(task);
      task.endReportedAt = update.now;
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

/** Declines asks and cancels holds and starts whose deadline has passed. */
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
      revokeStart(task, reason);
    }
  }
}

/** Adds the slices of this node and the usage of their teams to a heartbeat. */
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

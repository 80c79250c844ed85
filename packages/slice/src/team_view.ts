import { NO_RESOURCES } from "@mustardweir/model";
import {
  type AskAnswer,
  type DeclineReason,
  RoomResult,
} from "@mustardweir/protocol";
import { AskQueue } from "./ask_queue.ts";
import type { Slice, TeamView } from "./slice_state.ts";

/** Returns the view of a team; creates it on first use. */
export function teamView(slice: Slice, team: string): TeamView {
  const known = slice.teams.get(team);
  if (known !== undefined) {
    return known;
  }
  const view: TeamView = {
    team,
    homeEpoch: 0,
    homeNode: "",
    floor: 0,
    queue: new AskQueue(),
    tasksBySeq: new Map(),
    settled: new Set(),
    declined: new Map(),
    used: NO_RESOURCES,
  };
  slice.teams.set(team, view);
  return view;
}

/** Adds an answer for the team's home to the outbox. */
export function answerAsk(
  slice: Slice,
  view: TeamView,
  answer: AskAnswer,
): void {
  const answers = slice.outbox.get(view.team);
  if (answers === undefined) {
    slice.outbox.set(view.team, [answer]);
  } else {
    answers.push(answer);
  }
}

export interface DeclineOptions {
  readonly seq: number;
  readonly taskId: string;
  readonly reason: DeclineReason;
}

/** Declines an ask and records it, so that a late copy is not granted. */
export function declineAsk(
  slice: Slice,
  view: TeamView,
  { seq, taskId, reason }: DeclineOptions,
): void {
  const answer: AskAnswer = {
    seq,
    taskId,
    result: RoomResult.Declined,
    reason,
  };
  view.queue.delete(seq);
  view.tasksBySeq.delete(seq);
  view.declined.set(seq, answer);
  answerAsk(slice, view, answer);
}

/** Drops the records of asks that the home will not send again. */
export function raiseFloor(view: TeamView, floor: number): void {
  if (floor <= view.floor) {
    return;
  }
  view.floor = floor;
  for (const seq of view.settled) {
    if (seq < floor) {
      view.settled.delete(seq);
    }
  }
  for (const seq of view.declined.keys()) {
    if (seq < floor) {
      view.declined.delete(seq);
    }
  }
}

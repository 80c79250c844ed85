import { createCommand, type Update } from "@mustardweir/kernel";
import type { HeartbeatDraft } from "@mustardweir/membership";
import {
  type EndReason,
  type JobKind,
  NO_RESOURCES,
  type Outcome,
} from "@mustardweir/model";
import { type Home, type HomeJob, HOMES } from "./home_state.ts";

/** A job as described to plug-ins that follow its progress. */
export interface WorkEvent {
  readonly team: string;
  readonly jobId: string;
  readonly kind: JobKind;
}

/**
 * Dispatched when a job is accepted and this is recorded or needs no record.
 */
export const WORK_ACCEPTED = createCommand<WorkEvent>("work-accepted");

/** Dispatched when the first task of a job has started. */
export const WORK_STARTED = createCommand<WorkEvent>("work-started");

/** Dispatched when a job has ended. */
export const WORK_ENDED = createCommand<
  WorkEvent & { readonly outcome: Outcome; readonly reason: EndReason }
>("work-ended");

/** Describes a job for the commands of this module. */
export function describeWork(home: Home, job: HomeJob): WorkEvent {
  return { team: home.team, jobId: job.jobId, kind: job.spec.kind };
}

/** Adds the number of waiting tasks of each home to a heartbeat. */
export function addWaitingCounts(update: Update, draft: HeartbeatDraft): void {
  for (const { team, urgent, normal } of update.read(HOMES).homes.values()) {
    const waiting = urgent.countWaiting() + normal.countWaiting();
    draft.usage.push({ team, used: NO_RESOURCES, waiting });
  }
}

import type { Update } from "@mustardweir/kernel";
import {
  findValidPermit,
  queryPermits,
  stagePermits,
} from "@mustardweir/permits";
import type { StageRun } from "./book.ts";
import { type Candidate, couldHold, hasRoom, suits } from "./candidates.ts";
import { canMakeRoom } from "./preemption.ts";

/** Most workers named in one question, below the policy's limit of 100. */
const MAX_ASKED = 40;
/**
 * Workers of a known good verdict that are asked again together; most of a
 * question's time goes before the first one.
 */
const MAX_REASKED = 12;

/** A stage that waits, and the workers of its pool. */
export interface Offer {
  readonly stage: StageRun;
  readonly rank: number;
  readonly preempts: boolean;
  readonly candidates: readonly Candidate[];
}

/** The candidates that may run the stage; asks when none is known. */
export function permitted(update: Update, offer: Offer): readonly Candidate[] {
  const { stage, candidates } = offer;
  if (stage.job.record.queue.permits === undefined) {
    return candidates;
  }
  const held = candidates.filter(({ session }) =>
    findValidPermit(update, stage.name, session.info.id) !== undefined
  );
  if (!held.some((candidate) => mayStart(candidate, offer))) {
    askForMore(update, offer);
  }
  return held;
}

/** Asks for permits of workers with room that have none. */
export function askForMore(update: Update, offer: Offer): void {
  const { stage, rank, candidates } = offer;
  const { permits: policy } = stage.job.record.queue;
  if (policy === undefined) {
    return;
  }
  const known = stagePermits(update, stage.name);
  if (known.isQueryPending) {
    return;
  }
  const without = candidates.filter((candidate) =>
    suits(candidate, stage) && couldHold(stage, candidate) &&
    findValidPermit(update, stage.name, candidate.session.info.id) === undefined
  );
  const unjudged = without.filter(({ session }) =>
    !known.judged.has(session.info.id)
  );
  const expired = without.filter(({ session }) =>
    known.good.has(session.info.id)
  );
  // A permit holds for a short time only, so nothing is asked while no task
  // could start. Room on the other workers may come free while it holds, and
  // verdicts never change.
  const isUseful = [...expired, ...unjudged].some((candidate) =>
    mayStart(candidate, offer)
  );
  const asked = isUseful
    ? [
      ...expired.sort(byRoom).slice(0, MAX_REASKED),
      ...unjudged.sort(byRoom),
    ].slice(0, MAX_ASKED)
    : [];
  queryPermits(update, {
    stage: stage.name,
    workers: asked.map(({ session }) => session.info.id),
    policy,
    rank,
  });
}

/** True when a task of the stage has room, or room can be made for it. */
export function mayStart(
  candidate: Candidate,
  { stage, preempts }: Offer,
): boolean {
  return hasRoom(candidate, stage) ||
    (preempts && canMakeRoom(candidate, stage));
}

function byRoom(a: Candidate, b: Candidate): number {
  return b.free.cpuMillis - a.free.cpuMillis;
}

import type { Update } from "@mustardweir/kernel";
import {
  type FrontAnswer,
  FrontAnswerKind,
  logChange,
  Source,
} from "@mustardweir/protocol";
import { hasAllRecords, REPLICA } from "@mustardweir/replica";
import { STORE_ROUTE } from "@mustardweir/store-route";
import { CallPurpose, INTAKE, type PendingCall } from "./intake_state.ts";

/** Time after which the answer to a query counts as slow, in milliseconds. */
const SLOW_MS = 1_000;
/** Most lines in each {@link WINDOW_MS}: any caller may cause them. */
const MAX_LINES = 10;
const WINDOW_MS = 10_000;
/** Logged as the age of replies before the first. */
const NO_REPLY = -1;

/**
 * Logs a query that is answered late or without a state, and what this node
 * knew: whether the job isn't known, its state couldn't be read, or the answer
 * took long.
 */
export function reportQuery(
  update: Update,
  call: PendingCall,
  answer: FrontAnswer,
): void {
  const tookMs = update.now - call.receivedMs;
  const isFine = answer.kind === FrontAnswerKind.State && tookMs < SLOW_MS;
  if (call.purpose !== CallPurpose.Status || isFine) {
    return;
  }
  const { report } = update.write(INTAKE);
  if (update.now - report.sinceMs >= WINDOW_MS) {
    report.sinceMs = update.now;
    report.lines = 0;
  }
  if (report.lines >= MAX_LINES) {
    report.omitted++;
    return;
  }
  report.lines++;
  const replica = update.read(REPLICA);
  const hasCopy = hasAllRecords(replica);
  const { answeredMs } =
    replica.sources[hasCopy ? Source.Records : Source.Fleet];
  update.emit(logChange("Query answered late or without a state", {
    job: call.jobId,
    answer: answer.kind,
    tookMs: Math.round(tookMs),
    step: call.step,
    lastRead: call.lastRead ?? "",
    reads: call.reads,
    relayed: update.read(STORE_ROUTE).isRelayed,
    copy: hasCopy,
    storeReplyAgeMs: Number.isFinite(answeredMs)
      ? Math.round(update.now - answeredMs)
      : NO_REPLY,
    omitted: report.omitted,
  }));
  report.omitted = 0;
}

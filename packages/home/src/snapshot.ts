import { type JournalRecord, JournalRecordKind } from "@mustardweir/journal";
import { type Home, type HomeJob, TaskState } from "./home_state.ts";

/** Returns records with everything that a later owner of the home needs. */
export function composeSnapshot(home: Home): JournalRecord[] {
  return [...home.jobs.values()]
    .filter((job) => job.journaled && job.accepted)
    .flatMap(recordsOfJob);
}

function recordsOfJob(job: HomeJob): JournalRecord[] {
  const { jobId, spec, specHash, outcome, reason, answer } = job;
  if (job.endRecorded && outcome !== undefined && reason !== undefined) {
    const withoutPayload = { ...spec, payload: "", tasks: 1 };
    return [
      acceptance(job, withoutPayload),
      {
        kind: JournalRecordKind.JobEnded,
        jobId,
        outcome,
        reason,
        ...(answer === undefined ? {} : { answer }),
      },
    ];
  }
  const records: JournalRecord[] = [
    { kind: JournalRecordKind.Accepted, jobId, spec, specHash },
  ];
  if (job.cancelled) {
    records.push({ kind: JournalRecordKind.Cancelled, jobId });
  }
  return [...records, ...recordsOfTasks(job)];
}

function acceptance(job: HomeJob, spec: HomeJob["spec"]): JournalRecord {
  const { jobId, specHash } = job;
  return { kind: JournalRecordKind.Accepted, jobId, spec, specHash };
}

function recordsOfTasks(job: HomeJob): JournalRecord[] {
  const { jobId } = job;
  return job.tasks.flatMap((task): JournalRecord[] => {
    const taskIndex = task.index;
    if (task.state === TaskState.Ended && task.endReason !== undefined) {
      const reason = task.endReason;
      return [{ kind: JournalRecordKind.TaskEnded, jobId, taskIndex, reason }];
    }
    return task.startRecorded
      ? [{ kind: JournalRecordKind.Starting, jobId, taskIndex }]
      : [];
  });
}

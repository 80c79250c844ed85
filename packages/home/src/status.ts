import { JobState, type JobStatus } from "@mustardweir/model";
import { type HomeJob, type HomeTask, TaskState } from "./home_state.ts";

export interface DescribeOptions {
  readonly team: string;
  /** What the job waits for. */
  readonly explanation?: string;
}

/**
 * Returns the status of a job as callers see it. An end is reported only once
 * it is recorded.
 */
export function describeJob(
  job: HomeJob,
  options: DescribeOptions,
): JobStatus {
  const running = countTasks(job, TaskState.Started);
  const hasEnded = job.endRecorded;
  return {
    jobId: job.jobId,
    team: options.team,
    state: hasEnded
      ? JobState.Ended
      : running > 0
      ? JobState.Running
      : JobState.Waiting,
    ...(hasEnded ? { outcome: job.outcome, reason: job.reason } : {}),
    tasksTotal: job.spec.tasks,
    tasksRunning: running,
    tasksEnded: hasEnded ? job.spec.tasks : countTasks(job, TaskState.Ended),
    ...(hasEnded || options.explanation === undefined
      ? {}
      : { explanation: options.explanation }),
    ...(hasEnded && job.answer !== undefined ? { answer: job.answer } : {}),
    ...(job.firstStartAt === undefined
      ? {}
      : { waitedMs: job.firstStartAt - job.createdAt }),
  };
}

function countTasks(job: HomeJob, state: TaskState): number {
  return job.tasks.filter((task: HomeTask) => task.state === state).length;
}

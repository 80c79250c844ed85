import { JobKind, jobSpecSchema } from "@mustardweir/model";
import { expect } from "chai";
import { type HomeJob, TaskState } from "./home_state.ts";
import { createJob } from "./job_factory.ts";
import { JobQueue } from "./job_queue.ts";

interface QueueCase {
  readonly name: string;
  readonly act: (queue: JobQueue, jobs: readonly HomeJob[]) => void;
  /** Tasks in the order in which they are taken, as job id and index. */
  readonly taken: readonly string[];
}

const QUEUE_CASES: readonly QueueCase[] = [
  {
    name: "returns jobs in order of arrival",
    act: (queue, jobs) => pushAll(queue, jobs),
    taken: ["a0", "a1", "b0", "b1", "c0", "c1"],
  },
  {
    name: "puts a task back before the others of its job",
    act: (queue, jobs) => {
      pushAll(queue, jobs);
      queue.shift(jobs[1]!);
      queue.unshift(jobs[1]!.tasks[0]!);
    },
    taken: ["a0", "a1", "b0", "b1", "c0", "c1"],
  },
  {
    name: "puts a job whose tasks were all taken back at the front",
    act: (queue, jobs) => {
      pushAll(queue, jobs);
      queue.shift(jobs[1]!);
      queue.shift(jobs[1]!);
      queue.unshift(jobs[1]!.tasks[1]!);
    },
    taken: ["b1", "a0", "a1", "c0", "c1"],
  },
  {
    name: "drops tasks that no longer wait",
    act: (queue, jobs) => {
      pushAll(queue, jobs);
      jobs[0]!.tasks[0]!.state = TaskState.Ended;
      jobs[2]!.tasks.forEach((task) => task.state = TaskState.Asked);
    },
    taken: ["a1", "b0", "b1"],
  },
  {
    name: "accepts jobs after it became empty",
    act: (queue, jobs) => {
      queue.push(jobs[0]!.tasks[0]!);
      queue.shift(jobs[0]!);
      queue.push(jobs[1]!.tasks[0]!);
    },
    taken: ["b0"],
  },
];

describe("JobQueue", () => {
  for (const { name, act, taken } of QUEUE_CASES) {
    it(name, () => {
      const queue = new JobQueue();
      act(queue, ["a", "b", "c"].map(twoTasks));
      expect(takeAll(queue)).to.deep.equal(taken);
      expect(queue.isEmpty).to.equal(true);
    });
  }
});

function twoTasks(jobId: string): HomeJob {
  const spec = jobSpecSchema.parse({
    kind: JobKind.Batch,
    cpu: 1,
    memoryMb: 1,
    tasks: 2,
  });
  return createJob({ jobId, spec, specHash: "", now: 0 });
}

function pushAll(queue: JobQueue, jobs: readonly HomeJob[]): void {
  jobs.flatMap(({ tasks }) => tasks).forEach((task) => queue.push(task));
}

function takeAll(queue: JobQueue): string[] {
  const taken: string[] = [];
  for (const job of queue.jobs()) {
    for (let task = queue.peek(job); task !== undefined;) {
      taken.push(`${job.jobId}${task.index}`);
      queue.shift(job);
      task = queue.peek(job);
    }
  }
  return taken;
}

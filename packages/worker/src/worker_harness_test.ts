/** Test harness that calls a {@link WorkerState} at given times. */
import { JobKind, Priority } from "@mustardweir/model";
import {
  type SyncCall,
  type Synced,
  type SyncResult,
  SyncResultKind,
  type TaskSpec,
} from "@mustardweir/protocol";
import { expect } from "chai";
import {
  type TaskEnded,
  type TaskStarted,
  WorkerListener,
} from "./worker_listener.ts";
import { WorkerState, type WorkerStateOptions } from "./worker_state.ts";

const CAPACITY = { cpuMillis: 4000, memoryMb: 1000, accelerators: 1, slots: 3 };

export function task(
  taskId: string,
  changes: Partial<TaskSpec> = {},
): TaskSpec {
  return {
    taskId,
    jobId: `lone-star.${taskId}`,
    team: "lone-star",
    homeEpoch: 1,
    askSeq: 1,
    kind: JobKind.Batch,
    priority: Priority.Normal,
    idempotent: true,
    size: { cpuMillis: 1000, memoryMb: 100, accelerators: 0, slots: 1 },
    durationMs: 1000,
    payload: "",
    ...changes,
  };
}

export function sized(
  taskId: string,
  size: Partial<TaskSpec["size"]>,
): TaskSpec {
  return task(taskId, { size: { ...task(taskId).size, ...size } });
}

/** Calls a worker at given times and sends its newest token back. */
export class WorkerHarness extends WorkerListener {
  readonly state: WorkerState;
  readonly events: string[] = [];
  token: string | undefined;

  constructor(options: Partial<WorkerStateOptions> = {}) {
    super();
    this.state = new WorkerState({ capacity: CAPACITY, ...options });
    this.state.registerListener(this);
  }

  override taskStarted({ task, startedMs }: TaskStarted): void {
    this.events.push(`${task.taskId} starts at ${startedMs}`);
  }

  override taskEnded({ task, endedMs, end }: TaskEnded): void {
    this.events.push(`${task.taskId} ${end.reason} at ${endedMs}`);
  }

  makeCall(changes: Partial<SyncCall> = {}): SyncCall {
    return {
      sliceId: "z/0",
      epoch: 1,
      ...(this.token === undefined ? {} : { leaseToken: this.token }),
      floor: 0,
      starts: [],
      stops: [],
      throttles: [],
      acks: [],
      waitMs: 0,
      ...changes,
    };
  }

  sync(now: number, changes: Partial<SyncCall> = {}): SyncResult {
    const result = this.state.sync(this.makeCall(changes), now);
    if (result.kind === SyncResultKind.Synced) {
      this.token = result.leaseToken;
    }
    return result;
  }

  synced(now: number, changes: Partial<SyncCall> = {}): Synced {
    const result = this.sync(now, changes);
    expect(result.kind).to.equal(SyncResultKind.Synced);
    return result as Synced;
  }

  /** Gets a token and starts `tasks` at `now` with sequence numbers from 1. */
  start(now: number, ...tasks: TaskSpec[]): Synced {
    this.sync(now);
    const starts = tasks.map((task, index) => ({ seq: index + 1, task }));
    return this.synced(now, { starts });
  }
}

export function runningIds(result: Synced): string[] {
  return result.running.map(({ task }) => task.taskId);
}

export function endedReasons(result: Synced): string[] {
  return result.ended.map(({ task, end }) => `${task.taskId} ${end.reason}`);
}

export interface WorkerCase {
  readonly name: string;
  readonly options?: Partial<WorkerStateOptions>;
  readonly act: (harness: WorkerHarness) => unknown;
  readonly expected: unknown;
}

/** Defines a test per case; each runs on a new worker. */
export function describeWorker(
  group: string,
  cases: readonly WorkerCase[],
): void {
  describe(`WorkerState: ${group}`, () => {
    for (const { name, options, act, expected } of cases) {
      it(name, () => {
        expect(act(new WorkerHarness(options))).to.deep.equal(expected);
      });
    }
  });
}

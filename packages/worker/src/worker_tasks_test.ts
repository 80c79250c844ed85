import { EndReason, JobKind } from "@mustardweir/model";
import { StartRefusal, StopMode, type TaskSpec } from "@mustardweir/protocol";
import { PayloadTaskModel } from "./task_model.ts";
import {
  describeWorker,
  runningIds,
  sized,
  task,
  type WorkerCase,
} from "./worker_harness_test.ts";

const START_CASES: readonly WorkerCase[] = [
  {
    name: "starts a running or ended task only once",
    act: (d) => {
      d.start(0, task("a"));
      d.start(10, task("a"));
      d.start(2_000, task("a"));
      return d.events;
    },
    expected: ["a starts at 0", "a completed at 1000"],
  },
  {
    name: "refuses a delayed duplicate of a start below the floor",
    act: (d) => {
      d.start(0, task("a"));
      d.synced(2_000, { acks: ["a"], floor: 2 });
      const starts = [{ seq: 1, task: task("a") }];
      return d.synced(2_001, { starts }).refused;
    },
    expected: [{ taskId: "a", refusal: StartRefusal.Settled }],
  },
  ...[
    ["processors", sized("b", { cpuMillis: 3_001 })],
    ["memory", sized("b", { memoryMb: 901 })],
    ["accelerators", sized("b", { accelerators: 2 })],
    ["slots", sized("b", { slots: 3 })],
  ].map(([dimension, spec]): WorkerCase => ({
    name: `refuses a start that needs more than the free ${dimension}`,
    act: (d) => d.start(0, task("a"), spec as TaskSpec).refused,
    expected: [{ taskId: "b", refusal: StartRefusal.NoCapacity }],
  })),
  {
    name: "accepts a refused start again when there is room",
    act: (d) => {
      const big = sized("b", { cpuMillis: 4_000 });
      d.start(0, task("a"), big);
      return runningIds(d.start(1_000, task("a"), big));
    },
    expected: ["b"],
  },
  {
    name: "releases exactly the resources that it allocated",
    act: (d) => {
      d.start(0, task("a"), task("b"));
      d.state.advance(1_000);
      return d.state.used;
    },
    expected: { cpuMillis: 0, memoryMb: 0, accelerators: 0, slots: 0 },
  },
  {
    name: "refuses a start of a task that the same call stops",
    act: (d) => {
      d.sync(0);
      const starts = [{ seq: 1, task: task("a") }];
      const stops = [{ taskId: "a", mode: StopMode.Cancel }];
      return d.synced(0, { starts, stops }).refused;
    },
    expected: [{ taskId: "a", refusal: StartRefusal.Stopping }],
  },
  {
    name: "cancels a task",
    act: (d) => {
      d.start(0, task("a"));
      const stops = [{ taskId: "a", mode: StopMode.Cancel }];
      return d.synced(300, { stops }).ended.map(({ end }) => end);
    },
    expected: [{ reason: EndReason.Cancelled }],
  },
  {
    name: "preempts with a checkpoint from which a later start resumes",
    act: (d) => {
      d.start(0, task("a"));
      const stops = [{ taskId: "a", mode: StopMode.Preempt }];
      const { checkpoint } = d.synced(300, { stops }).ended[0]!.end;
      d.start(500, task("b", { checkpoint }));
      d.state.advance(2_000);
      return [checkpoint, d.events.at(-1)];
    },
    expected: ["300", "b completed at 1200"],
  },
  {
    name: "a throttle slows progress until it is lifted",
    act: (d) => {
      d.start(0, task("a"));
      d.sync(200, { throttles: [{ taskId: "a", cpuMillis: 500 }] });
      const slow = d.state.nextDue(200);
      d.sync(400, { throttles: [{ taskId: "a", cpuMillis: 5_000 }] });
      return [slow, d.state.nextDue(400)];
    },
    expected: [1_800, 1_100],
  },
];

function endAfter(spec: TaskSpec, now = 5_000): WorkerCase["act"] {
  return (d) => {
    d.start(0, spec);
    const { ended } = d.synced(now);
    return [d.events.at(-1), ended[0]?.end.answer];
  };
}

const BEHAVIOUR_CASES: readonly WorkerCase[] = [
  {
    name: "a request returns its payload as the answer",
    act: endAfter(task("a", { kind: JobKind.Request, payload: "pie" })),
    expected: ["a completed at 1000", "pie"],
  },
  {
    name: "a request returns the answer given in its payload",
    act: endAfter(task("a", {
      kind: JobKind.Request,
      payload: '{"answer":"baked","runMs":20}',
    })),
    expected: ["a completed at 20", "baked"],
  },
  {
    name: "a payload can make a task fail",
    act: endAfter(task("a", { payload: '{"fail":true,"runMs":30}' })),
    expected: ["a failed at 30", undefined],
  },
  {
    name: "a service runs until it is stopped",
    act: endAfter(task("a", { kind: JobKind.Service })),
    expected: ["a starts at 0", undefined],
  },
  {
    name: "run times are within the given error of the declared ones",
    options: { model: new PayloadTaskModel({ seed: 3, durationError: 4 }) },
    act: (d) => {
      d.start(0, task("a"), task("b"));
      const ends = d.state.runningTasks().map((run) => run.endsAtMs);
      return [ends[0] === ends[1], ends.every((t) => t > 250 && t < 4_000)];
    },
    expected: [false, true],
  },
  {
    name: "the fault failEverything fails each new task after 5 ms",
    act: (d) => {
      d.state.setFaults({ failEverything: true });
      d.start(0, task("a", { kind: JobKind.Service }));
      d.state.advance(100);
      return d.events;
    },
    expected: ["a starts at 0", "a failed at 5"],
  },
  {
    name: "reports usage with a lag, and memory above the declared size",
    options: {
      usageLagMs: 200,
      model: new PayloadTaskModel({ memoryFactor: 2 }),
    },
    act: (d) => {
      d.start(0, task("a"));
      return [199, 200].map((now) => d.synced(now).running[0]?.usage);
    },
    expected: [
      { cpuMillis: 0, memoryMb: 0 },
      { cpuMillis: 1_000, memoryMb: 200 },
    ],
  },
  {
    name: "the fault lieFactor falsifies the reported usage",
    act: (d) => {
      d.state.setFaults({ lieFactor: 0.5 });
      return d.start(0, task("a")).running[0]?.usage;
    },
    expected: { cpuMillis: 500, memoryMb: 50 },
  },
];

describeWorker("starts and stops", START_CASES);
describeWorker("task behaviour", BEHAVIOUR_CASES);

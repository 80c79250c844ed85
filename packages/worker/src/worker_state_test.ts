import { JobKind } from "@mustardweir/model";
import {
  LEASE_MS,
  StartRefusal,
  StopMode,
  SyncResultKind,
} from "@mustardweir/protocol";
import {
  describeWorker,
  endedReasons,
  runningIds,
  task,
  type WorkerCase,
} from "./worker_harness_test.ts";

const FENCING_CASES: readonly WorkerCase[] = [
  {
    name: "fences a call with a lower epoch",
    act: (d) => [d.sync(0, { epoch: 3 }), d.sync(0, { epoch: 2 })][1],
    expected: { kind: SyncResultKind.Fenced, epoch: 3 },
  },
  {
    name: "a fenced call changes nothing",
    act: (d) => {
      d.start(0, task("a"));
      d.sync(1, { epoch: 2 });
      const stops = [{ taskId: "a", mode: StopMode.Cancel }];
      const starts = [{ seq: 9, task: task("b") }];
      d.sync(2, { epoch: 1, stops, starts });
      return runningIds(d.synced(3, { epoch: 2 }));
    },
    expected: ["a"],
  },
  {
    name: "fences each slice independently",
    act: (d) => [
      d.sync(0, { sliceId: "z/0", epoch: 5 }).kind,
      d.sync(0, { sliceId: "z/1", epoch: 1 }).kind,
    ],
    expected: [SyncResultKind.Synced, SyncResultKind.Synced],
  },
  {
    name: "keeps the tasks running for an owner with a higher epoch",
    act: (d) => {
      d.start(0, task("a"));
      return runningIds(d.synced(10, { epoch: 2 }));
    },
    expected: ["a"],
  },
  {
    name: "resets the floor for a new epoch",
    act: (d) => {
      d.sync(0, { floor: 50 });
      const starts = [{ seq: 1, task: task("a") }];
      return d.synced(1, { epoch: 2, starts }).refused;
    },
    expected: [],
  },
  {
    name: "keeps the tasks of another slice until their lease expires",
    act: (d) => {
      d.start(0, task("a", { kind: JobKind.Service }));
      const other = d.synced(LEASE_MS - 1, { sliceId: "z/1" });
      const before = d.state.runningTasks().length;
      d.state.advance(LEASE_MS);
      const own = d.synced(LEASE_MS, { sliceId: "z/0" });
      return [runningIds(other), before, endedReasons(own)];
    },
    expected: [[], 1, ["a lost"]],
  },
  {
    name: "refuses to start a task that another slice runs",
    act: (d) => {
      d.start(0, task("a"));
      const starts = [{ seq: 1, task: task("a") }];
      const { refused } = d.synced(1, { sliceId: "z/1", starts });
      return [refused, d.events];
    },
    expected: [
      [{ taskId: "a", refusal: StartRefusal.Settled }],
      ["a starts at 0"],
    ],
  },
];

const SERVICE = task("a", { kind: JobKind.Service });

const LEASE_CASES: readonly WorkerCase[] = [
  {
    name: "ends the tasks as lost when the lease expires",
    act: (d) => {
      d.start(0, SERVICE);
      const due = d.state.nextDue(1);
      d.state.advance(20_000);
      return [due, d.events, endedReasons(d.synced(20_000))];
    },
    expected: [
      LEASE_MS,
      ["a starts at 0", `a lost at ${LEASE_MS}`],
      ["a lost"],
    ],
  },
  {
    name: "measures the lease from the creation of the token",
    act: (d) => {
      d.start(0, SERVICE);
      d.sync(1_000);
      d.sync(5_000);
      return d.state.nextDue(5_000);
    },
    expected: 1_000 + LEASE_MS,
  },
  {
    name: "an old token does not shorten the lease",
    act: (d) => {
      d.start(0, SERVICE);
      const old = d.token!;
      d.sync(1_000);
      d.sync(1_500);
      d.sync(2_000, { leaseToken: old });
      return d.state.nextDue(2_000);
    },
    expected: 1_000 + LEASE_MS,
  },
  {
    name: "a call without a token does not extend the lease",
    act: (d) => {
      d.start(0, SERVICE);
      d.sync(7_000, { leaseToken: undefined });
      return d.state.nextDue(7_000);
    },
    expected: LEASE_MS,
  },
  ...["of another incarnation", "from the future", "malformed"].map((
    kind,
    index,
  ): WorkerCase => ({
    name: `refuses a start with a token ${kind}`,
    options: { incarnation: "w" },
    act: (d) => {
      const leaseToken = ["0:1:other-0", "99:1:w-0", "x"][index]!;
      const starts = [{ seq: 1, task: SERVICE }];
      return d.synced(10, { leaseToken, starts }).refused;
    },
    expected: [{ taskId: "a", refusal: StartRefusal.NoLease }],
  })),
  ...[0, 1].map((early): WorkerCase => ({
    name: `a token that expires in ${early} ms ${
      early ? "allows" : "refuses"
    } starts`,
    act: (d) => {
      d.sync(0);
      const starts = [{ seq: 1, task: SERVICE }];
      return d.synced(LEASE_MS - early, { starts }).refused.length;
    },
    expected: early ? 0 : 1,
  })),
  {
    name: "reports lost tasks until they are acknowledged",
    act: (d) => {
      d.start(0, SERVICE);
      const first = endedReasons(d.synced(LEASE_MS));
      const second = endedReasons(d.synced(LEASE_MS + 1));
      return [first, second, endedReasons(d.synced(9_999, { acks: ["a"] }))];
    },
    expected: [["a lost"], ["a lost"], []],
  },
  {
    name: "a restart discards tasks, epochs and tokens",
    options: { incarnation: "w" },
    act: (d) => {
      d.sync(0, { epoch: 9 });
      d.sync(0, { epoch: 9, starts: [{ seq: 1, task: SERVICE }] });
      d.state.restart(5);
      const starts = [{ seq: 2, task: SERVICE }];
      const after = d.synced(6, { epoch: 1, starts });
      return [d.events, after.incarnation, after.refused[0]?.refusal];
    },
    expected: [["a starts at 0", "a lost at 5"], "w-1", StartRefusal.NoLease],
  },
];

const UNREPORTED_CHANGE_CASES: readonly WorkerCase[] = [
  {
    name: "an owner without a token has unreported changes",
    act: (d) => d.state.hasUnreportedChanges(d.makeCall()),
    expected: true,
  },
  {
    name: "an owner with the newest reply has no unreported changes",
    act: (d) => {
      d.start(0, task("a"));
      return d.state.hasUnreportedChanges(d.makeCall());
    },
    expected: false,
  },
  {
    name: "an end is unreported until a token shows that the reply arrived",
    act: (d) => {
      d.start(0, task("a"));
      const lost = d.makeCall();
      d.state.advance(1_000);
      d.sync(1_000);
      return [
        d.state.hasUnreportedChanges(lost),
        d.state.hasUnreportedChanges(d.makeCall()),
      ];
    },
    expected: [true, false],
  },
  {
    name: "a newer epoch is an unreported change for the older owner",
    act: (d) => {
      d.sync(0);
      const old = d.makeCall();
      d.sync(0, { epoch: 2 });
      return d.state.hasUnreportedChanges(old);
    },
    expected: true,
  },
  {
    name: "state sequence numbers of replies increase",
    act: (d) => d.synced(0).stateSeq < d.synced(0).stateSeq,
    expected: true,
  },
];

describeWorker("fencing", FENCING_CASES);
describeWorker("leases", LEASE_CASES);
describeWorker("unreported changes", UNREPORTED_CHANGE_CASES);

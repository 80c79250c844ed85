import {
  EndReason,
  JobKind,
  jobSpecSchema,
  JobState,
  Outcome,
  Priority,
  RefusalReason,
  refuse,
  type Resources,
  StagedJobState,
} from "@mustardweir/model";
import {
  AskMode,
  BurnWindow,
  DeclineReason,
  EffectKind,
  HomeCallKind,
  HomeReplyKind,
  type PeerMessage,
  PeerMessageKind,
  PermitResultKind,
  RecordCommitKind,
  RoomResult,
  StopMode,
  TaskPhase,
  type TaskSpec,
} from "@mustardweir/protocol";
import { expect } from "chai";
import { JsonMessageCodec } from "./codec.ts";
import { WireErrorKind } from "./errors.ts";

const size: Resources = {
  cpuMillis: 1_500,
  memoryMb: 512,
  accelerators: 0,
  slots: 1,
};

const task: TaskSpec = {
  taskId: "storefront.1.0.1",
  jobId: "storefront.1",
  team: "storefront",
  homeEpoch: 3,
  askSeq: 8,
  kind: JobKind.Batch,
  priority: Priority.Normal,
  idempotent: true,
  size,
  payload: "päivä",
};

const address = {
  team: "storefront",
  homeEpoch: 3,
  sliceId: "tx-a/0",
  sliceEpoch: 5,
};

const status = {
  jobId: "storefront.1",
  team: "storefront",
  state: JobState.Ended,
  outcome: Outcome.Done,
  reason: EndReason.Completed,
  tasksTotal: 1,
  tasksRunning: 0,
  tasksEnded: 1,
};

const end = { reason: EndReason.Failed, message: "exit 1" };

const MESSAGES: { readonly [Kind in PeerMessageKind]: PeerMessage } = {
  [PeerMessageKind.Heartbeat]: {
    kind: PeerMessageKind.Heartbeat,
    nodeId: "s1",
    incarnation: "f",
    availabilityZone: "tx-a",
    configurationVersion: 4,
    stopping: false,
    owned: [{ unit: "slice/tx-a/0", epoch: 5 }],
    superseded: [],
    slices: [{
      sliceId: "tx-a/0",
      epoch: 5,
      free: size,
      total: size,
      waiting: 0,
    }],
    usage: [{ team: "storefront", used: size }],
  },
  [PeerMessageKind.HomeCall]: {
    kind: PeerMessageKind.HomeCall,
    callId: "c1",
    team: "storefront",
    keyId: "k1",
    ttlMs: 900,
    call: {
      kind: HomeCallKind.Submit,
      idempotencyKey: "i1",
      spec: jobSpecSchema.parse({
        kind: JobKind.Gang,
        cpu: 1.5,
        memoryMb: 512,
        tasks: 3,
      }),
    },
  },
  [PeerMessageKind.HomeReply]: {
    kind: PeerMessageKind.HomeReply,
    callId: "c1",
    reply: {
      kind: HomeReplyKind.Refused,
      refusal: refuse(RefusalReason.Overloaded, { message: "Queue is full" }),
    },
  },
  [PeerMessageKind.VouchRequest]: {
    kind: PeerMessageKind.VouchRequest,
    tickMs: 12.5,
    owned: [{ unit: "home/storefront", epoch: 3 }],
  },
  [PeerMessageKind.Vouch]: {
    kind: PeerMessageKind.Vouch,
    tickMs: 12.5,
    isSure: true,
    newestVersion: 4,
    leaving: ["i-2"],
    superseded: [{ unit: "home/storefront", epoch: 4 }],
  },
  [PeerMessageKind.AnnounceEdit]: {
    kind: PeerMessageKind.AnnounceEdit,
    announcementId: "e1/2",
    version: 5,
  },
  [PeerMessageKind.EditAnnounced]: {
    kind: PeerMessageKind.EditAnnounced,
    announcementId: "e1/2",
  },
  [PeerMessageKind.FenceHome]: { kind: PeerMessageKind.FenceHome, ...address },
  [PeerMessageKind.HomeInventory]: {
    kind: PeerMessageKind.HomeInventory,
    ...address,
    complete: true,
    knownForMs: 1_000,
    tasks: [{ task, phase: TaskPhase.Ended, instanceId: "i-1", end }],
  },
  [PeerMessageKind.AskRoom]: {
    kind: PeerMessageKind.AskRoom,
    ...address,
    floor: 2,
    asks: [{ seq: 8, mode: AskMode.Hold, task, ttlMs: 500 }],
  },
  [PeerMessageKind.WithdrawAsks]: {
    kind: PeerMessageKind.WithdrawAsks,
    ...address,
    seqs: [8, 9],
  },
  [PeerMessageKind.CommitHolds]: {
    kind: PeerMessageKind.CommitHolds,
    ...address,
    seqs: [8],
  },
  [PeerMessageKind.RoomAnswer]: {
    kind: PeerMessageKind.RoomAnswer,
    ...address,
    answers: [{
      seq: 8,
      taskId: task.taskId,
      result: RoomResult.Declined,
      reason: DeclineReason.NoRoom,
    }],
  },
  [PeerMessageKind.StopTasks]: {
    kind: PeerMessageKind.StopTasks,
    ...address,
    taskIds: [task.taskId],
    mode: StopMode.Preempt,
  },
  [PeerMessageKind.TaskEvents]: {
    kind: PeerMessageKind.TaskEvents,
    ...address,
    events: [{ task, phase: TaskPhase.Running, instanceId: "i-1" }],
  },
  [PeerMessageKind.TaskEventsAck]: {
    kind: PeerMessageKind.TaskEventsAck,
    ...address,
    taskIds: [task.taskId],
  },
  [PeerMessageKind.BurnRequest]: {
    kind: PeerMessageKind.BurnRequest,
    requestId: "b1",
  },
  [PeerMessageKind.BurnRecord]: {
    kind: PeerMessageKind.BurnRecord,
    requestId: "b1",
    series: [{
      team: "storefront",
      kind: JobKind.Batch,
      windows: [{
        window: BurnWindow.OneHour,
        waits: "AAAA",
        accepted: 1,
        completed: 1,
        failed: 0,
        notRun: 0,
        cancelled: 0,
        unknown: 0,
        unmeasured: 0,
      }],
      waiting: "AAAA",
      points: [{
        ageMs: 0,
        widthMs: 60_000,
        accepted: 1,
        inTime: 1,
        late: 0,
        p99Ms: 9,
      }],
    }],
    spans: [{ team: "storefront", fromAgeMs: 9, toAgeMs: 0 }],
  },
  [PeerMessageKind.JobsProgressed]: {
    kind: PeerMessageKind.JobsProgressed,
    jobs: [{
      jobId: "5c0e7a21d94b36f8",
      progress: {
        state: StagedJobState.Completed,
        marks: { "0.0": "dd" },
        checkpoints: {},
        endedMs: 12,
      },
    }],
  },
  [PeerMessageKind.JobAdmitted]: {
    kind: PeerMessageKind.JobAdmitted,
    jobId: "5c0e7a21d94b36f8",
    record: {
      queue: {
        name: "plans",
        host: "a.example",
        pathPrefix: "/plans/",
        pool: "ovens",
        priority: 0,
        maxAttempts: 3,
        latencyObjectiveMs: 250,
        stretch: 1.5,
        isPublic: false,
      },
      team: "storefront",
      acceptedMs: 12,
      spec: { payload: "päivä", stages: [] },
    },
  },
  [PeerMessageKind.PermitRequest]: {
    kind: PeerMessageKind.PermitRequest,
    requestId: 7,
    stage: "5c0e7a21d94b36f8.0.1",
    workers: ["w1", "w2"],
    timeoutMs: 300,
  },
  [PeerMessageKind.PermitReply]: {
    kind: PeerMessageKind.PermitReply,
    requestId: 7,
    result: {
      kind: PermitResultKind.Judged,
      permits: [{ workerId: "w1", permit: "p" }],
      validMs: 2_000,
    },
  },
  [PeerMessageKind.StoreRequest]: {
    kind: PeerMessageKind.StoreRequest,
    requestId: 8,
    call: {
      kind: EffectKind.CommitRecords,
      transaction: {
        expected: [{ part: "domain", key: "tenure/owner", version: 3 }],
        puts: [{ part: "domain", key: "tenure/owner", value: "{}" }],
        removes: [],
      },
      timeoutMs: 500,
    },
  },
  [PeerMessageKind.StoreReply]: {
    kind: PeerMessageKind.StoreReply,
    requestId: 8,
    result: { kind: RecordCommitKind.Committed, version: 4, clockMs: 12 },
  },
};

const REPLY_BODIES = [
  { kind: HomeReplyKind.Status, status },
  { kind: HomeReplyKind.List, jobs: [status], running: size },
  { kind: HomeReplyKind.NotOwner, owner: "s2" },
] as const;

const ROUND_TRIPS: readonly PeerMessage[] = [
  ...Object.values(MESSAGES),
  ...REPLY_BODIES.map((reply) => ({
    kind: PeerMessageKind.HomeReply as const,
    callId: "c1",
    reply,
  })),
];

const FENCE = MESSAGES[PeerMessageKind.FenceHome];

const INVALID_MESSAGES = [
  {
    name: "an unknown kind",
    kind: 99,
    text: "{}",
    error: WireErrorKind.UnknownKind,
  },
  {
    name: "text that is not JSON",
    kind: PeerMessageKind.FenceHome,
    text: "{",
    error: WireErrorKind.Undecodable,
  },
  {
    name: "a body that is not an object",
    kind: PeerMessageKind.FenceHome,
    text: "null",
    error: WireErrorKind.WrongShape,
  },
  {
    name: "a missing field",
    kind: PeerMessageKind.FenceHome,
    text: JSON.stringify({ ...FENCE, sliceEpoch: undefined }),
    error: WireErrorKind.WrongShape,
  },
  {
    name: "NaN in place of a number",
    kind: PeerMessageKind.FenceHome,
    text: JSON.stringify({ ...FENCE, homeEpoch: NaN }),
    error: WireErrorKind.WrongShape,
  },
  {
    name: "a body whose kind differs from that of the envelope",
    kind: PeerMessageKind.Heartbeat,
    text: JSON.stringify(FENCE),
    error: WireErrorKind.WrongShape,
  },
  {
    name: "a task event with a phase that only inventories report",
    kind: PeerMessageKind.TaskEvents,
    text: JSON.stringify({
      ...MESSAGES[PeerMessageKind.TaskEvents],
      events: [{ task, phase: TaskPhase.Held, instanceId: "i-1" }],
    }),
    error: WireErrorKind.WrongShape,
  },
];

describe("JsonMessageCodec", () => {
  const codec = new JsonMessageCodec();

  for (const message of ROUND_TRIPS) {
    const name = PeerMessageKind[message.kind];
    it(`encodes and decodes ${name}${"reply" in message ? ` ${message.reply.kind}` : ""}`, () => {
      const decoded = codec.decode(message.kind, codec.encode(message));
      expect(decoded._unsafeUnwrap()).to.deep.equal(message);
    });
  }

  it("keeps unknown fields", () => {
    const newer: PeerMessage = Object.assign({ added: 1 }, FENCE);
    const decoded = codec.decode(newer.kind, codec.encode(newer));
    expect(decoded._unsafeUnwrap()).to.deep.equal(newer);
  });

  for (const { name, kind, text, error } of INVALID_MESSAGES) {
    it(`refuses ${name}`, () => {
      const decoded = codec.decode(kind, new TextEncoder().encode(text));
      expect(decoded._unsafeUnwrapErr().kind).to.equal(error);
    });
  }
});

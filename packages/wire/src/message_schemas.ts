import {
  EndReason,
  JobKind,
  jobSpecSchema,
  JobState,
  Outcome,
  Priority,
  RefusalReason,
  resourcesSchema,
} from "@mustardweir/model";
import {
  AskMode,
  BurnWindow,
  DeclineReason,
  HomeCallKind,
  HomeReplyKind,
  type PeerMessage,
  PeerMessageKind,
  RoomResult,
  StopMode,
  TaskPhase,
} from "@mustardweir/protocol";
import * as z from "zod";
import {
  jobAdmitted,
  jobsProgressed,
  permitReply,
  permitRequest,
  storeReply,
  storeRequest,
} from "./domain_schemas.ts";

type SchemaOf<Kind extends PeerMessageKind> = z.ZodType<
  Extract<PeerMessage, { readonly kind: Kind }>
>;

const taskSpec = z.looseObject({
  taskId: z.string(),
  jobId: z.string(),
  team: z.string(),
  homeEpoch: z.number(),
  askSeq: z.number(),
  kind: z.enum(JobKind),
  priority: z.enum(Priority),
  idempotent: z.boolean(),
  size: resourcesSchema,
  durationMs: z.number().optional(),
  payload: z.string(),
  checkpoint: z.string().optional(),
});

const taskEnd = z.looseObject({
  reason: z.enum(EndReason),
  answer: z.string().optional(),
  checkpoint: z.string().optional(),
  message: z.string().optional(),
});

const jobStatus = z.looseObject({
  jobId: z.string(),
  team: z.string(),
  state: z.enum(JobState),
  outcome: z.enum(Outcome).optional(),
  reason: z.enum(EndReason).optional(),
  tasksTotal: z.number(),
  tasksRunning: z.number(),
  tasksEnded: z.number(),
  explanation: z.string().optional(),
  answer: z.string().optional(),
  waitedMs: z.number().optional(),
});

const refusal = z.looseObject({
  reason: z.enum(RefusalReason),
  message: z.string(),
  outcome: z.enum(Outcome),
  retryable: z.boolean(),
});

const ownedUnit = z.looseObject({ unit: z.string(), epoch: z.number() });

const heartbeat = z.looseObject({
  kind: z.literal(PeerMessageKind.Heartbeat),
  nodeId: z.string(),
  incarnation: z.string(),
  availabilityZone: z.string(),
  configurationVersion: z.number(),
  stopping: z.boolean(),
  owned: z.array(ownedUnit),
  superseded: z.array(ownedUnit),
  slices: z.array(z.looseObject({
    sliceId: z.string(),
    epoch: z.number(),
    free: resourcesSchema,
    total: resourcesSchema,
    waiting: z.number(),
  })),
  usage: z.array(z.looseObject({ team: z.string(), used: resourcesSchema })),
});

const homeCall = z.looseObject({
  kind: z.literal(PeerMessageKind.HomeCall),
  callId: z.string(),
  team: z.string(),
  keyId: z.string(),
  ttlMs: z.number(),
  call: z.discriminatedUnion("kind", [
    z.looseObject({
      kind: z.literal(HomeCallKind.Submit),
      idempotencyKey: z.string(),
      spec: jobSpecSchema,
    }),
    z.looseObject({ kind: z.literal(HomeCallKind.Status), jobId: z.string() }),
    z.looseObject({ kind: z.literal(HomeCallKind.Cancel), jobId: z.string() }),
    z.looseObject({ kind: z.literal(HomeCallKind.List) }),
  ]),
});

const homeReply = z.looseObject({
  kind: z.literal(PeerMessageKind.HomeReply),
  callId: z.string(),
  reply: z.discriminatedUnion("kind", [
    z.looseObject({ kind: z.literal(HomeReplyKind.Status), status: jobStatus }),
    z.looseObject({
      kind: z.literal(HomeReplyKind.List),
      jobs: z.array(jobStatus),
      running: resourcesSchema,
    }),
    z.looseObject({ kind: z.literal(HomeReplyKind.Refused), refusal }),
    z.looseObject({
      kind: z.literal(HomeReplyKind.NotOwner),
      owner: z.string().optional(),
    }),
  ]),
});

const homeSliceAddress = z.looseObject({
  team: z.string(),
  homeEpoch: z.number(),
  sliceId: z.string(),
  sliceEpoch: z.number(),
});

const fenceHome = homeSliceAddress.extend({
  kind: z.literal(PeerMessageKind.FenceHome),
});

const homeInventory = homeSliceAddress.extend({
  kind: z.literal(PeerMessageKind.HomeInventory),
  complete: z.boolean(),
  knownForMs: z.number(),
  tasks: z.array(z.looseObject({
    task: taskSpec,
    phase: z.enum(TaskPhase),
    instanceId: z.string(),
    end: taskEnd.optional(),
  })),
});

const askRoom = homeSliceAddress.extend({
  kind: z.literal(PeerMessageKind.AskRoom),
  floor: z.number(),
  asks: z.array(z.looseObject({
    seq: z.number(),
    mode: z.enum(AskMode),
    task: taskSpec,
    ttlMs: z.number(),
  })),
});

const withdrawAsks = homeSliceAddress.extend({
  kind: z.literal(PeerMessageKind.WithdrawAsks),
  seqs: z.array(z.number()),
});

const commitHolds = homeSliceAddress.extend({
  kind: z.literal(PeerMessageKind.CommitHolds),
  seqs: z.array(z.number()),
});

const roomAnswer = homeSliceAddress.extend({
  kind: z.literal(PeerMessageKind.RoomAnswer),
  answers: z.array(z.looseObject({
    seq: z.number(),
    taskId: z.string(),
    result: z.enum(RoomResult),
    reason: z.enum(DeclineReason).optional(),
    instanceId: z.string().optional(),
  })),
});

const stopTasks = homeSliceAddress.extend({
  kind: z.literal(PeerMessageKind.StopTasks),
  taskIds: z.array(z.string()),
  mode: z.enum(StopMode),
});

const taskEvents = homeSliceAddress.extend({
  kind: z.literal(PeerMessageKind.TaskEvents),
  events: z.array(z.looseObject({
    task: taskSpec,
    phase: z.literal([TaskPhase.Running, TaskPhase.Ended]),
    instanceId: z.string(),
    end: taskEnd.optional(),
  })),
});

const taskEventsAck = homeSliceAddress.extend({
  kind: z.literal(PeerMessageKind.TaskEventsAck),
  taskIds: z.array(z.string()),
});

const burnRequest = z.looseObject({
  kind: z.literal(PeerMessageKind.BurnRequest),
  requestId: z.string(),
});

const burnRecord = z.looseObject({
  kind: z.literal(PeerMessageKind.BurnRecord),
  requestId: z.string(),
  series: z.array(z.looseObject({
    team: z.string(),
    kind: z.enum(JobKind),
    windows: z.array(z.looseObject({
      window: z.enum(BurnWindow),
      waits: z.string(),
      accepted: z.number(),
      completed: z.number(),
      failed: z.number(),
      notRun: z.number(),
      cancelled: z.number(),
      unknown: z.number(),
      unmeasured: z.number(),
    })),
    waiting: z.string(),
    points: z.array(z.looseObject({
      ageMs: z.number(),
      widthMs: z.number(),
      accepted: z.number(),
      inTime: z.number(),
      late: z.number(),
      p99Ms: z.number(),
    })),
  })),
  spans: z.array(z.looseObject({
    team: z.string(),
    fromAgeMs: z.number(),
    toAgeMs: z.number(),
  })),
});

const ownedUnits = z.array(
  z.looseObject({ unit: z.string(), epoch: z.number() }),
);

const vouchRequest = z.looseObject({
  kind: z.literal(PeerMessageKind.VouchRequest),
  tickMs: z.number(),
  owned: ownedUnits,
});

const vouch = z.looseObject({
  kind: z.literal(PeerMessageKind.Vouch),
  tickMs: z.number(),
  isSure: z.boolean(),
  newestVersion: z.number(),
  leaving: z.array(z.string()),
  superseded: ownedUnits,
});

const announceEdit = z.looseObject({
  kind: z.literal(PeerMessageKind.AnnounceEdit),
  announcementId: z.string(),
  version: z.number(),
});

const editAnnounced = z.looseObject({
  kind: z.literal(PeerMessageKind.EditAnnounced),
  announcementId: z.string(),
});

/** Schemas by message kind; the compiler checks them against the types. */
const MESSAGE_SCHEMAS: { readonly [Kind in PeerMessageKind]: SchemaOf<Kind> } =
  {
    [PeerMessageKind.Heartbeat]: heartbeat,
    [PeerMessageKind.HomeCall]: homeCall,
    [PeerMessageKind.HomeReply]: homeReply,
    [PeerMessageKind.FenceHome]: fenceHome,
    [PeerMessageKind.HomeInventory]: homeInventory,
    [PeerMessageKind.AskRoom]: askRoom,
    [PeerMessageKind.WithdrawAsks]: withdrawAsks,
    [PeerMessageKind.CommitHolds]: commitHolds,
    [PeerMessageKind.RoomAnswer]: roomAnswer,
    [PeerMessageKind.StopTasks]: stopTasks,
    [PeerMessageKind.TaskEvents]: taskEvents,
    [PeerMessageKind.TaskEventsAck]: taskEventsAck,
    [PeerMessageKind.BurnRequest]: burnRequest,
    [PeerMessageKind.BurnRecord]: burnRecord,
    [PeerMessageKind.VouchRequest]: vouchRequest,
    [PeerMessageKind.Vouch]: vouch,
    [PeerMessageKind.AnnounceEdit]: announceEdit,
    [PeerMessageKind.EditAnnounced]: editAnnounced,
    [PeerMessageKind.JobAdmitted]: jobAdmitted,
    [PeerMessageKind.JobsProgressed]: jobsProgressed,
    [PeerMessageKind.PermitRequest]: permitRequest,
    [PeerMessageKind.PermitReply]: permitReply,
    [PeerMessageKind.StoreRequest]: storeRequest,
    [PeerMessageKind.StoreReply]: storeReply,
  };

/**
 * Returns the schema of messages of `kind`; undefined for an unknown kind.
 *
 * @example
 * ```ts
 * const message = findMessageSchema(kind)?.safeParse(JSON.parse(text));
 * ```
 */
export function findMessageSchema(
  kind: number,
): z.ZodType<PeerMessage> | undefined {
  return MESSAGE_SCHEMAS[kind as PeerMessageKind];
}

import {
  ceilingSchema,
  EndReason,
  inventorySchema,
  JobKind,
  JobState,
  keySchema,
  Outcome,
  RefusalReason,
  rulesSchema,
  zonesSchema,
  ZoneState,
} from "@mustardweir/model";
import { BurnAlert, BurnWindow } from "@mustardweir/protocol";
import * as z from "zod";

/** Fields of every response: its time and the configuration's version. */
export const stampSchema = z.object({
  asOf: z.iso.datetime(),
  configurationVersion: z.int().nonnegative(),
});

export const errorReplySchema = stampSchema.extend({
  error: z.object({
    reason: z.enum(RefusalReason),
    message: z.string(),
    outcome: z.enum(Outcome),
    retryable: z.boolean(),
  }),
});

const resources = z.object({
  cpuMillis: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
  slots: z.number(),
});

const jobStatus = z.object({
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

const missing = {
  missingSlices: z.array(z.string()),
  missingHomes: z.array(z.string()),
  missingSchedulers: z.array(z.string()),
};

export const jobReplySchema = stampSchema.extend(jobStatus.shape);

export const jobsReplySchema = stampSchema.extend({
  jobs: z.array(jobStatus),
});

export const teamsReplySchema = stampSchema.extend({
  teams: z.array(z.object({
    team: z.string(),
    share: z.number(),
    ceiling: ceilingSchema,
    used: resources,
    dominantShare: z.number(),
    entitlement: z.number(),
    waiting: z.number().optional(),
  })),
  ...missing,
});

export const fleetReplySchema = stampSchema.extend({
  schedulers: z.array(z.object({
    nodeId: z.string(),
    availabilityZone: z.string(),
    configurationVersion: z.number(),
    isStopping: z.boolean(),
    silentMs: z.number(),
    owned: z.number(),
  })),
  availabilityZones: z.array(z.object({
    availabilityZone: z.string(),
    state: z.enum(ZoneState),
    instances: z.number(),
    slices: z.array(z.object({
      sliceId: z.string(),
      epoch: z.number(),
      free: resources,
      total: resources,
      waiting: z.number(),
    })),
  })),
  ...missing,
});

export const configurationReplySchema = stampSchema.extend({
  version: z.int().nonnegative(),
  inventory: inventorySchema,
  rules: rulesSchema,
  zones: zonesSchema,
  keys: z.array(keySchema.omit({ hash: true })),
});

export const editReplySchema = stampSchema.extend({ version: z.int() });

export const grantReplySchema = editReplySchema.extend({
  id: z.string(),
  key: z.string(),
});

const burnFigures = z.object({
  window: z.enum(BurnWindow),
  accepted: z.number(),
  completed: z.number(),
  failed: z.number(),
  notRun: z.number(),
  cancelled: z.number(),
  unknown: z.number(),
  unmeasured: z.number(),
  inTime: z.number(),
  late: z.number(),
  burnRate: z.number().optional(),
  waitMs: z.record(z.string(), z.number()),
  covered: z.number(),
});

const ageRange = {
  fromAgeMs: z.number(),
  toAgeMs: z.number(),
};

export const burnReplySchema = stampSchema.extend({
  series: z.array(z.object({
    team: z.string(),
    kind: z.enum(JobKind),
    objective: z.object({
      startWithinMs: z.number(),
      target: z.number(),
    }).optional(),
    windows: z.array(burnFigures),
    budgetLeft: z.number().optional(),
    alert: z.enum(BurnAlert),
    points: z.array(z.object({
      ageMs: z.number(),
      widthMs: z.number(),
      accepted: z.number(),
      inTime: z.number(),
      late: z.number(),
      p99Ms: z.number(),
    })),
  })),
  schedulers: z.array(z.string()),
  silent: z.array(z.object({ nodeId: z.string(), silentMs: z.number() })),
  gaps: z.array(z.object({ team: z.string(), ...ageRange })),
});

export type BurnReply = z.infer<typeof burnReplySchema>;

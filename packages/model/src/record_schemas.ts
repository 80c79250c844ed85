import * as z from "zod";
import {
  type JobProgress,
  type JobRecord,
  StagedJobState,
} from "./staged_job.ts";

/** Validates resource amounts that were read or received. */
export const resourcesSchema = z.looseObject({
  cpuMillis: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
  slots: z.number(),
});

const stage = z.looseObject({
  tasks: z.number(),
  size: resourcesSchema,
  estimateMs: z.number(),
  dependsOn: z.array(z.number()),
  checkpoints: z.boolean(),
  gang: z.boolean(),
  sameRack: z.boolean(),
  requiredLabel: z.string(),
  preferredRack: z.string(),
  maxPerWorker: z.number(),
  speculative: z.boolean(),
  lasting: z.boolean(),
  image: z.string(),
  latencyObjectiveMs: z.number(),
  bestEffort: z.boolean(),
  disruptionBudget: z.number(),
});

const queue = z.looseObject({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  pool: z.string(),
  priority: z.number(),
  maxAttempts: z.number(),
  latencyObjectiveMs: z.number(),
  stretch: z.number(),
  isPublic: z.boolean(),
  permits: z.looseObject({
    decideMs: z.number(),
    perWorkerMs: z.number(),
    validMs: z.number(),
  }).optional(),
});

/** Validates a {@link JobRecord} that was read or received. */
export const jobRecordSchema: z.ZodType<JobRecord> = z.looseObject({
  queue,
  team: z.string(),
  spec: z.looseObject({
    payload: z.string(),
    stages: z.array(stage),
    schedule: z.looseObject({
      firstDueMs: z.number(),
      intervalMs: z.number(),
      occurrences: z.number(),
    }).optional(),
  }),
  acceptedMs: z.number(),
});

/** Validates a {@link JobProgress} that was read. */
export const jobProgressSchema: z.ZodType<JobProgress> = z.looseObject({
  state: z.enum(StagedJobState),
  marks: z.record(z.string(), z.string()),
  offsets: z.record(z.string(), z.number().nonnegative()).optional(),
  checkpoints: z.record(z.string(), z.string()),
  crashes: z.record(z.string(), z.number().nonnegative()).optional(),
  failures: z.record(
    z.string(),
    z.looseObject({
      count: z.number().nonnegative(),
      attempts: z.array(z.number()),
    }),
  ).optional(),
  settled: z.number().nonnegative().optional(),
  endedMs: z.number().optional(),
});

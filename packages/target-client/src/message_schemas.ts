/** Schemas of the JSON messages between workers and their callers. */
import { EndReason, JobKind, Priority } from "@mustardweir/model";
import {
  StartRefusal,
  StopMode,
  type SyncCall,
  type SyncResult,
  SyncResultKind,
} from "@mustardweir/protocol";
import * as z from "zod";

const amount = z.number().nonnegative();
const counter = z.int().nonnegative();

const resourcesSchema = z.object({
  cpuMillis: amount,
  memoryMb: amount,
  accelerators: amount,
  slots: amount,
});

const taskSchema = z.object({
  taskId: z.string().min(1),
  jobId: z.string(),
  team: z.string(),
  homeEpoch: counter,
  askSeq: counter,
  kind: z.enum(JobKind),
  priority: z.enum(Priority),
  idempotent: z.boolean(),
  size: resourcesSchema,
  durationMs: amount.optional(),
  payload: z.string(),
  checkpoint: z.string().optional(),
});

const endSchema = z.object({
  reason: z.enum(EndReason),
  answer: z.string().optional(),
  checkpoint: z.string().optional(),
  message: z.string().optional(),
});

const usageSchema = z.object({ cpuMillis: amount, memoryMb: amount });

/** Schema of the body of a sync call. */
export const syncCallSchema: z.ZodType<SyncCall> = z.object({
  sliceId: z.string().min(1),
  epoch: counter,
  leaseToken: z.string().optional(),
  floor: counter,
  starts: z.array(z.object({ seq: counter, task: taskSchema })),
  stops: z.array(z.object({ taskId: z.string(), mode: z.enum(StopMode) })),
  throttles: z.array(z.object({ taskId: z.string(), cpuMillis: amount })),
  acks: z.array(z.string()),
  waitMs: amount,
});

/** Schema of a worker's responses to a sync call. */
export const syncResultSchema: z.ZodType<SyncResult> = z.discriminatedUnion(
  "kind",
  [
    z.object({
      kind: z.literal(SyncResultKind.Synced),
      incarnation: z.string(),
      uptimeMs: amount,
      stateSeq: counter,
      leaseToken: z.string(),
      running: z.array(z.object({ task: taskSchema, usage: usageSchema })),
      ended: z.array(z.object({ task: taskSchema, end: endSchema })),
      refused: z.array(
        z.object({ taskId: z.string(), refusal: z.enum(StartRefusal) }),
      ),
    }),
    z.object({ kind: z.literal(SyncResultKind.Fenced), epoch: counter }),
  ],
);

/**
 * Returns the first error of a message, in one line.
 *
 * @example
 * ```ts
 * const parsed = syncCallSchema.safeParse({});
 * if (!parsed.success) {
 *   describeIssue(parsed.error); // sliceId: Invalid input: expected string ...
 * }
 * ```
 */
export function describeIssue(err: z.ZodError): string {
  const issue = err.issues[0];
  if (issue === undefined) {
    return "Malformed";
  }
  const path = issue.path.join(".");
  return path === "" ? issue.message : `${path}: ${issue.message}`;
}

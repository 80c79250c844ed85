import { jobProgressSchema, jobRecordSchema } from "@mustardweir/model";
import {
  EffectKind,
  PeerMessageKind,
  PermitResultKind,
  RecordCommitKind,
  Source,
  type SourceChange,
  SourceResultKind,
} from "@mustardweir/protocol";
import * as z from "zod";

/** Schema of messages of the kind `JobAdmitted`. */
export const jobAdmitted = z.looseObject({
  kind: z.literal(PeerMessageKind.JobAdmitted),
  jobId: z.string(),
  record: jobRecordSchema,
});

/** Schema of messages of the kind `JobsProgressed`. */
export const jobsProgressed = z.looseObject({
  kind: z.literal(PeerMessageKind.JobsProgressed),
  jobs: z.array(
    z.looseObject({ jobId: z.string(), progress: jobProgressSchema }),
  ),
});

/** Schema of messages of the kind `PermitRequest`. */
export const permitRequest = z.looseObject({
  kind: z.literal(PeerMessageKind.PermitRequest),
  requestId: z.number(),
  stage: z.string(),
  workers: z.array(z.string()),
  timeoutMs: z.number(),
});

/** Schema of messages of the kind `PermitReply`. */
export const permitReply = z.looseObject({
  kind: z.literal(PeerMessageKind.PermitReply),
  requestId: z.number(),
  result: z.discriminatedUnion("kind", [
    z.looseObject({
      kind: z.literal(PermitResultKind.Judged),
      permits: z.array(
        z.looseObject({ workerId: z.string(), permit: z.string() }),
      ),
      validMs: z.number(),
    }),
    z.looseObject({ kind: z.literal(PermitResultKind.Busy) }),
    z.looseObject({ kind: z.literal(PermitResultKind.Unavailable) }),
  ]),
});

const recordKeyFields = { part: z.string(), key: z.string() };
const storedRecord = z.looseObject({
  ...recordKeyFields,
  version: z.number(),
  value: z.string().optional(),
});

/** Schema of messages of the kind `StoreRequest`. */
export const storeRequest = z.looseObject({
  kind: z.literal(PeerMessageKind.StoreRequest),
  requestId: z.number(),
  call: z.discriminatedUnion("kind", [
    z.looseObject({
      kind: z.literal(EffectKind.CommitRecords),
      transaction: z.looseObject({
        expected: z.array(
          z.looseObject({ ...recordKeyFields, version: z.number() }),
        ),
        puts: z.array(z.looseObject({ ...recordKeyFields, value: z.string() })),
        removes: z.array(z.looseObject(recordKeyFields)),
      }),
      timeoutMs: z.number(),
    }),
    z.looseObject({
      kind: z.literal(EffectKind.ReadSource),
      source: z.enum(Source),
      part: z.string(),
      after: z.string().optional(),
      only: z.string().optional(),
      timeoutMs: z.number(),
    }),
    z.looseObject({
      kind: z.literal(EffectKind.FollowSource),
      source: z.enum(Source),
      afterVersion: z.number(),
      waitMs: z.number(),
      timeoutMs: z.number(),
    }),
  ]),
});

/** Checks only that `kind` exists: the peer's adapter decoded the changes. */
const sourceChange = z.custom<SourceChange>((value) =>
  typeof value === "object" && value !== null && "kind" in value
);

/** Schema of messages of the kind `StoreReply`. */
export const storeReply = z.looseObject({
  kind: z.literal(PeerMessageKind.StoreReply),
  requestId: z.number(),
  result: z.discriminatedUnion("kind", [
    z.looseObject({
      kind: z.literal(RecordCommitKind.Committed),
      version: z.number(),
      clockMs: z.number(),
    }),
    z.looseObject({
      kind: z.literal(RecordCommitKind.Conflict),
      records: z.array(storedRecord),
    }),
    z.looseObject({ kind: z.literal(RecordCommitKind.Refused) }),
    z.looseObject({ kind: z.literal(RecordCommitKind.Rejected) }),
    z.looseObject({ kind: z.literal(RecordCommitKind.Unknown) }),
    z.looseObject({
      kind: z.literal(SourceResultKind.Read),
      changes: z.array(sourceChange),
      version: z.number(),
      nextAfter: z.string().optional(),
      clockMs: z.number(),
      unixMs: z.number(),
    }),
    z.looseObject({ kind: z.literal(SourceResultKind.HistoryLost) }),
    z.looseObject({
      kind: z.literal(SourceResultKind.Unavailable),
      reason: z.string(),
    }),
  ]),
});

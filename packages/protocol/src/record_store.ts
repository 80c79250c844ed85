import type { Effect } from "@mustardweir/kernel";
import type {
  DesiredState,
  MaintenanceWave,
  WorkerInfo,
} from "@mustardweir/model";
import type { EffectKind } from "./effects.ts";
import type { ReplyTo } from "./reply.ts";

/** Identifies a record; a transaction can span records of one part. */
export interface RecordKey {
  readonly part: string;
  readonly key: string;
}

/** A record with the version of its last change. */
export interface StoredRecord extends RecordKey {
  readonly version: number;
  /** Absent when the record was removed. */
  readonly value?: string;
}

/** Changes to records of one part that take effect together or not at all. */
export interface RecordTransaction {
  /** Versions that records must have; 0 for one that must not exist. */
  readonly expected: readonly (RecordKey & { readonly version: number })[];
  readonly puts: readonly (RecordKey & { readonly value: string })[];
  readonly removes: readonly RecordKey[];
}

/** How a transaction ended. */
export enum RecordCommitKind {
  Committed = "committed",
  /** A record did not have its expected version. */
  Conflict = "conflict",
  /** The transaction took no effect; it may be sent again. */
  Refused = "refused",
  /** The transaction took no effect, and never would: it breaks a limit. */
  Rejected = "rejected",
  /** The transaction may have taken effect or may still do so. */
  Unknown = "unknown",
}

/** The result of {@link CommitRecordsEffect}. */
export type RecordCommitResult =
  | {
    readonly kind: RecordCommitKind.Committed;
    readonly version: number;
    /** Monotonic clock of the store, in milliseconds. */
    readonly clockMs: number;
  }
  | {
    readonly kind: RecordCommitKind.Conflict;
    /** Current state of the records in `expected`. */
    readonly records: readonly StoredRecord[];
  }
  | { readonly kind: RecordCommitKind.Refused }
  | { readonly kind: RecordCommitKind.Rejected }
  | { readonly kind: RecordCommitKind.Unknown };

/** Sets of entries in the store that can be listed and followed. */
export enum Source {
  /** The system's own records of jobs, workers and the domain's owner. */
  Records = "records",
  /** The system's own records that every node needs: nodes and a summary. */
  Fleet = "fleet",
  /** Entries that operators write. */
  Operator = "operator",
  /** Registrations that workers write. */
  Workers = "workers",
}

/** Kinds of entry change in a source. */
export enum ChangeKind {
  Record = "record",
  DesiredState = "desired-state",
  ZoneDrain = "zone-drain",
  Wave = "wave",
  Worker = "worker",
  /** An entry that can't be decoded; it is otherwise ignored. */
  Unreadable = "unreadable",
}

/** The current state of one entry of a source. */
export type SourceChange =
  | { readonly kind: ChangeKind.Record; readonly record: StoredRecord }
  | { readonly kind: ChangeKind.DesiredState; readonly desired: DesiredState }
  | {
    readonly kind: ChangeKind.ZoneDrain;
    readonly zone: string;
    readonly isDrained: boolean;
  }
  | { readonly kind: ChangeKind.Wave; readonly wave: MaintenanceWave }
  | {
    readonly kind: ChangeKind.Worker;
    readonly id: string;
    /** Absent when the entry was deleted. */
    readonly worker?: WorkerInfo;
  }
  | {
    readonly kind: ChangeKind.Unreadable;
    readonly key: string;
    readonly reason: string;
  };

/** How a listing or a wait for changes ended. */
export enum SourceResultKind {
  Read = "read",
  /** The store no longer has the requested history; list again. */
  HistoryLost = "history-lost",
  Unavailable = "unavailable",
}

/** The result of {@link ReadSourceEffect} and {@link FollowSourceEffect}. */
export type SourceResult =
  | {
    readonly kind: SourceResultKind.Read;
    readonly changes: readonly SourceChange[];
    /** The source's version once these changes are applied. */
    readonly version: number;
    /** Key after which the next page starts; absent on the last page. */
    readonly nextAfter?: string;
    /** Monotonic clock of the store, in milliseconds. */
    readonly clockMs: number;
    /** This node's wall-clock time on receipt, in Unix milliseconds. */
    readonly unixMs: number;
  }
  | { readonly kind: SourceResultKind.HistoryLost }
  | { readonly kind: SourceResultKind.Unavailable; readonly reason: string };

/** Applies a transaction to the system's records. */
export interface CommitRecordsEffect extends Effect {
  readonly kind: EffectKind.CommitRecords;
  readonly transaction: RecordTransaction;
  readonly timeoutMs: number;
  readonly replyTo: ReplyTo<RecordCommitResult>;
}

/** Reads one page of a part of a source. */
export interface ReadSourceEffect extends Effect {
  readonly kind: EffectKind.ReadSource;
  readonly source: Source;
  readonly part: string;
  /** The page starts after this key. */
  readonly after?: string;
  /** Reads only this key. */
  readonly only?: string;
  readonly timeoutMs: number;
  readonly replyTo: ReplyTo<SourceResult>;
}

/** Waits for changes of a source after a version and reads them. */
export interface FollowSourceEffect extends Effect {
  readonly kind: EffectKind.FollowSource;
  readonly source: Source;
  readonly afterVersion: number;
  /** Longest wait for the first change, in milliseconds. */
  readonly waitMs: number;
  readonly timeoutMs: number;
  readonly replyTo: ReplyTo<SourceResult>;
}

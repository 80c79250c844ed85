import type { Effect } from "@mustardweir/kernel";
import type {
  DesiredState,
  MaintenanceWave,
  WorkerInfo,
} from "@mustardweir/model";
import type { EffectKind } from "./effects.ts";
import type { ReplyTo } from "./reply.ts";

/** Names a record; records of one part can share a transaction. */
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

/** Changes that take effect together or not at all. All of one part. */
export interface RecordTransaction {
  /** Versions that must hold; 0 for a record that must not exist. */
  readonly expected: readonly (RecordKey & { readonly version: number })[];
  readonly puts: readonly (RecordKey & { readonly value: string })[];
  readonly removes: readonly RecordKey[];
}

/** What came of a transaction. */
export enum RecordCommitKind {
  Committed = "committed",
  /** An expected version did not hold. */
  Conflict = "conflict",
  /** Nothing was done and nothing will be. */
  Refused = "refused",
  /** It may have been done or may be done later. */
  Unknown = "unknown",
}

/** The answer to {@link CommitRecordsEffect}. */
export type RecordCommitResult =
  | {
    readonly kind: RecordCommitKind.Committed;
    readonly version: number;
    /** Steady clock of the store, in milliseconds. */
    readonly clockMs: number;
  }
  | {
    readonly kind: RecordCommitKind.Conflict;
    /** The records of `expected` as they are. */
    readonly records: readonly StoredRecord[];
  }
  | { readonly kind: RecordCommitKind.Refused }
  | { readonly kind: RecordCommitKind.Unknown };

/** What can be listed and followed. */
export enum Source {
  /** The system's own records. */
  Records = "records",
  /** What operators write. */
  Operator = "operator",
  /** Where workers register themselves. */
  Workers = "workers",
}

/** Kinds of change of a source. */
export enum ChangeKind {
  Record = "record",
  DesiredState = "desired-state",
  ZoneDrain = "zone-drain",
  Wave = "wave",
  Worker = "worker",
  /** An entry that can't be read; it stands for nothing. */
  Unreadable = "unreadable",
}

/** One entry of a source as it is now. */
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
    /** Absent when the entry is gone. */
    readonly worker?: WorkerInfo;
  }
  | {
    readonly kind: ChangeKind.Unreadable;
    readonly key: string;
    readonly reason: string;
  };

/** How a listing or a follow ended. */
export enum SourceResultKind {
  Read = "read",
  /** The history asked for is gone; list again. */
  HistoryLost = "history-lost",
  Unavailable = "unavailable",
}

/** The answer to {@link ReadSourceEffect} and {@link FollowSourceEffect}. */
export type SourceResult =
  | {
    readonly kind: SourceResultKind.Read;
    readonly changes: readonly SourceChange[];
    /** Version that these changes bring the reader up to. */
    readonly version: number;
    /** Key after which the listing goes on; absent at its end. */
    readonly nextAfter?: string;
    /** Steady clock of the store, in milliseconds. */
    readonly clockMs: number;
    /** Time of day of this node on receipt, Unix milliseconds. */
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

/** Lists one part of a source, a page at a time. */
export interface ReadSourceEffect extends Effect {
  readonly kind: EffectKind.ReadSource;
  readonly source: Source;
  readonly part: string;
  /** The page starts after this key. */
  readonly after?: string;
  /** Reads this key alone. */
  readonly only?: string;
  readonly timeoutMs: number;
  readonly replyTo: ReplyTo<SourceResult>;
}

/** Waits for changes of a source after a version. */
export interface FollowSourceEffect extends Effect {
  readonly kind: EffectKind.FollowSource;
  readonly source: Source;
  readonly afterVersion: number;
  /** Longest wait for a first change, in milliseconds. */
  readonly waitMs: number;
  readonly timeoutMs: number;
  readonly replyTo: ReplyTo<SourceResult>;
}

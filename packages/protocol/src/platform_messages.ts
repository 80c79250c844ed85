/** A row of the platform's transactional table. */
export interface TableRow {
  readonly key: string;
  readonly value: string;
  /** Grows with each change of the row; starts at 1. */
  readonly version: number;
}

/** The rows that a scan found. */
export interface ScanPage {
  readonly rows: readonly TableRow[];
  /** Keys deleted since the revision asked for; empty in a full scan. */
  readonly deleted: readonly string[];
  /** Give this as `afterRevision` to get only what changed since. */
  readonly revision: number;
}

/** A condition of a transaction on one row. */
export interface RowCheck {
  readonly key: string;
  /** The version the row must have; 0 when it must not exist. */
  readonly version: number;
}

/** A row that a transaction writes. */
export interface RowPut {
  readonly key: string;
  readonly value: string;
}

/** Applied as a whole when every check holds, otherwise not at all. */
export interface Transaction {
  readonly checks: readonly RowCheck[];
  readonly puts: readonly RowPut[];
  readonly deletes: readonly string[];
}

/** How a call to the platform's table, object store or list ended. */
export enum StoreStatus {
  Ok = "ok",
  /** A check failed; nothing was applied. */
  Conflict = "conflict",
  NotFound = "not-found",
  /** Refused before it took effect. */
  Unavailable = "unavailable",
  /** No answer came; it may have taken effect, or may yet. */
  Unknown = "unknown",
}

/** The result of a scan of the table. */
export type ScanResult =
  | { readonly status: StoreStatus.Ok; readonly page: ScanPage }
  | { readonly status: StoreStatus.Unavailable | StoreStatus.Unknown };

/** The result of a transaction. */
export type CommitResult =
  | { readonly status: StoreStatus.Ok; readonly revision: number }
  | { readonly status: StoreStatus.Conflict }
  | { readonly status: StoreStatus.Unavailable | StoreStatus.Unknown };

/** The result of reading an object. */
export type GetObjectResult =
  | { readonly status: StoreStatus.Ok; readonly body: string }
  | {
    readonly status:
      | StoreStatus.NotFound
      | StoreStatus.Unavailable
      | StoreStatus.Unknown;
  };

/** The result of writing an object. */
export interface PutObjectResult {
  readonly status:
    | StoreStatus.Ok
    | StoreStatus.Unavailable
    | StoreStatus.Unknown;
}

/** One process of the system in the platform's lagging list. */
export interface ListedInstance {
  readonly nodeId: string;
  readonly role: string;
  /** host:port of the inner link; empty for entries, which only call. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly leaving: boolean;
}

/** The result of reading the list of the system's processes. */
export type ListInstancesResult =
  | {
    readonly status: StoreStatus.Ok;
    readonly instances: readonly ListedInstance[];
  }
  | { readonly status: StoreStatus.Unavailable | StoreStatus.Unknown };

/** A row of the platform's transactional table. */
export interface TableRow {
  readonly key: string;
  readonly value: string;
  /** Increases with each change of the row; starts at 1. */
  readonly version: number;
}

/** The rows and deletions that a scan returned. */
export interface ScanPage {
  readonly rows: readonly TableRow[];
  /** Keys deleted since the requested revision; empty in a full scan. */
  readonly deleted: readonly string[];
  /** Pass this as `afterRevision` to read only later changes. */
  readonly revision: number;
}

/** A condition of a transaction on one row. */
export interface RowCheck {
  readonly key: string;
  /** The version that the row must have; 0 if it must not exist. */
  readonly version: number;
}

/** A row that a transaction writes. */
export interface RowPut {
  readonly key: string;
  readonly value: string;
}

/** Changes that are applied together if every check holds, else not at all. */
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
  /** The call was refused or not sent, and has no effect. */
  Unavailable = "unavailable",
  /** No usable reply; the call may have taken effect or may still do so. */
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

/** A process of the system in the platform's list, which may be stale. */
export interface ListedInstance {
  readonly nodeId: string;
  readonly role: string;
  /** host:port for links of peers; empty for entries, which accept none. */
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

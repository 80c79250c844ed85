import {
  type CommitResult,
  type ScanResult,
  StoreStatus,
  type Transaction,
} from "@mustardweir/protocol";
import type { Result } from "neverthrow";
import {
  COMMITTED,
  CONFLICT,
  decode,
  SCAN_PAGE,
  toStoreFailure,
} from "./responses.ts";
import type {
  CallError,
  HttpResponse,
  PlatformConnection,
} from "./connection.ts";

const HTTP_CONFLICT = 409;

/** Which rows a scan reads. */
export interface ScanOptions {
  /** Reads all rows by default. */
  readonly prefix?: string;
  /** Reads only later changes; 0, the default, makes a full scan. */
  readonly afterRevision?: number;
}

/** The platform's transactional table; no method rejects. */
export abstract class TableStore {
  /** Reads rows that changed after a revision. */
  abstract scan(options: ScanOptions): Promise<ScanResult>;
  /** Applies a transaction atomically. */
  abstract commit(transaction: Transaction): Promise<CommitResult>;

  /** Closes the store's connections. */
  close(): Promise<void> {
    return Promise.resolve();
  }
}

/**
 * The table over HTTP.
 *
 * @example
 * ```ts
 * const store = new HttpTableStore(new PlatformConnection({ baseUrl }));
 * const result = await store.scan({ prefix: "owner/" });
 * ```
 */
export class HttpTableStore extends TableStore {
  readonly #connection: PlatformConnection;

  constructor(connection: PlatformConnection) {
    super();
    this.#connection = connection;
  }

  override async scan(options: ScanOptions): Promise<ScanResult> {
    const { prefix = "", afterRevision = 0 } = options;
    const query = `prefix=${encodeURIComponent(prefix)}`;
    const path = `/v1/table/rows?${query}&afterRevision=${afterRevision}`;
    const response = await this.#connection.call({ method: "GET", path });
    return response
      .andThen((received) => decode(received, { schema: SCAN_PAGE }))
      .match<ScanResult, ScanResult>(
        (page) => ({ status: StoreStatus.Ok, page }),
        toStoreFailure,
      );
  }

  override async commit(transaction: Transaction): Promise<CommitResult> {
    const response = await this.#connection.call({
      method: "POST",
      path: "/v1/table/transactions",
      body: JSON.stringify(transaction),
    });
    return response
      .andThen(decodeCommit)
      .match<CommitResult, CommitResult>((result) => result, toStoreFailure);
  }

  override close(): Promise<void> {
    return this.#connection.close();
  }
}

function decodeCommit(response: HttpResponse): Result<CommitResult, CallError> {
  if (response.code === HTTP_CONFLICT) {
    return decode(response, { schema: CONFLICT, code: HTTP_CONFLICT })
      .map(() => ({ status: StoreStatus.Conflict }));
  }
  return decode(response, { schema: COMMITTED })
    .map(({ revision }) => ({ status: StoreStatus.Ok, revision }));
}

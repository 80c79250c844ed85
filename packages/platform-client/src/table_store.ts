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
  toFailure,
} from "./answers.ts";
import type {
  CallError,
  HttpAnswer,
  PlatformConnection,
} from "./connection.ts";

const HTTP_CONFLICT = 409;

/** Which rows a scan reads. */
export interface ScanOptions {
  /** Every row by default. */
  readonly prefix?: string;
  /** 0, the default, is a full scan. */
  readonly afterRevision?: number;
}

/** The platform's transactional table; its methods never reject. */
export abstract class TableStore {
  /** Reads rows that changed since a revision. */
  abstract scan(options: ScanOptions): Promise<ScanResult>;
  /** Applies a transaction as a whole, or not at all. */
  abstract commit(transaction: Transaction): Promise<CommitResult>;

  /** Ends what the store holds open. */
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
    const answer = await this.#connection.call({ method: "GET", path });
    return answer
      .andThen((found) => decode(found, { schema: SCAN_PAGE }))
      .match<ScanResult, ScanResult>(
        (page) => ({ status: StoreStatus.Ok, page }),
        toFailure,
      );
  }

  override async commit(transaction: Transaction): Promise<CommitResult> {
    const answer = await this.#connection.call({
      method: "POST",
      path: "/v1/table/transactions",
      body: JSON.stringify(transaction),
    });
    return answer
      .andThen(decodeCommit)
      .match<CommitResult, CommitResult>((result) => result, toFailure);
  }

  override close(): Promise<void> {
    return this.#connection.close();
  }
}

function decodeCommit(answer: HttpAnswer): Result<CommitResult, CallError> {
  if (answer.code === HTTP_CONFLICT) {
    return decode(answer, { schema: CONFLICT, code: HTTP_CONFLICT })
      .map(() => ({ status: StoreStatus.Conflict }));
  }
  return decode(answer, { schema: COMMITTED })
    .map(({ revision }) => ({ status: StoreStatus.Ok, revision }));
}

import {
  type GetObjectResult,
  type PutObjectResult,
  StoreStatus,
} from "@mustardweir/protocol";
import { ok } from "neverthrow";
import { checkCode, toFailure } from "./answers.ts";
import type { PlatformConnection } from "./connection.ts";

const HTTP_NOT_FOUND = 404;

/** The platform's object store; its methods never reject. */
export abstract class ObjectStore {
  /** Reads an object. */
  abstract get(key: string): Promise<GetObjectResult>;
  /** Writes an object; repeating it is harmless. */
  abstract put(key: string, body: string): Promise<PutObjectResult>;

  /** Ends what the store holds open. */
  close(): Promise<void> {
    return Promise.resolve();
  }
}

/**
 * The object store over HTTP.
 *
 * @example
 * ```ts
 * const store = new HttpObjectStore(new PlatformConnection({ baseUrl }));
 * const result = await store.get("jobs/1f");
 * ```
 */
export class HttpObjectStore extends ObjectStore {
  readonly #connection: PlatformConnection;

  constructor(connection: PlatformConnection) {
    super();
    this.#connection = connection;
  }

  override async get(key: string): Promise<GetObjectResult> {
    const path = pathOf(key);
    const answer = await this.#connection.call({ method: "GET", path });
    return answer
      .andThen((found) =>
        found.code === HTTP_NOT_FOUND
          ? ok<GetObjectResult>({ status: StoreStatus.NotFound })
          : checkCode(found).map(toObject)
      )
      .match<GetObjectResult, GetObjectResult>((result) => result, toFailure);
  }

  override async put(key: string, body: string): Promise<PutObjectResult> {
    const path = pathOf(key);
    const answer = await this.#connection.call({ method: "PUT", path, body });
    return answer
      .andThen((found) => checkCode(found))
      .match<PutObjectResult, PutObjectResult>(
        () => ({ status: StoreStatus.Ok }),
        toFailure,
      );
  }

  override close(): Promise<void> {
    return this.#connection.close();
  }
}

function pathOf(key: string): string {
  return `/v1/objects/${encodeURIComponent(key)}`;
}

function toObject({ body }: { readonly body: string }): GetObjectResult {
  return { status: StoreStatus.Ok, body };
}

import {
  type GetObjectResult,
  type PutObjectResult,
  StoreStatus,
} from "@mustardweir/protocol";
import { ok } from "neverthrow";
import { requireCode, toStoreFailure } from "./responses.ts";
import type { PlatformConnection } from "./connection.ts";

const HTTP_NOT_FOUND = 404;

/** The platform's object store; no method rejects. */
export abstract class ObjectStore {
  /** Reads an object. */
  abstract get(key: string): Promise<GetObjectResult>;
  /** Writes an object; idempotent. */
  abstract put(key: string, body: string): Promise<PutObjectResult>;

  /** Closes the store's connections. */
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
    const path = toPath(key);
    const response = await this.#connection.call({ method: "GET", path });
    return response
      .andThen((received) =>
        received.code === HTTP_NOT_FOUND
          ? ok<GetObjectResult>({ status: StoreStatus.NotFound })
          : requireCode(received).map(toObject)
      )
      .match<GetObjectResult, GetObjectResult>(
        (result) => result,
        toStoreFailure,
      );
  }

  override async put(key: string, body: string): Promise<PutObjectResult> {
    const path = toPath(key);
    const response = await this.#connection.call({ method: "PUT", path, body });
    return response
      .andThen((received) => requireCode(received))
      .match<PutObjectResult, PutObjectResult>(
        () => ({ status: StoreStatus.Ok }),
        toStoreFailure,
      );
  }

  override close(): Promise<void> {
    return this.#connection.close();
  }
}

function toPath(key: string): string {
  return `/v1/objects/${encodeURIComponent(key)}`;
}

function toObject({ body }: { readonly body: string }): GetObjectResult {
  return { status: StoreStatus.Ok, body };
}

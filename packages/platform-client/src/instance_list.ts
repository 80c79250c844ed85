import { type ListInstancesResult, StoreStatus } from "@mustardweir/protocol";
import { decode, INSTANCES, toStoreFailure } from "./responses.ts";
import type { PlatformConnection } from "./connection.ts";

/** The platform's list of instances, which may lag; no method rejects. */
export abstract class InstanceList {
  /** Returns all listed processes; the list may be out of date. */
  abstract list(): Promise<ListInstancesResult>;

  /** Closes the list's connections. */
  close(): Promise<void> {
    return Promise.resolve();
  }
}

/**
 * The list of instances over HTTP.
 *
 * @example
 * ```ts
 * const list = new HttpInstanceList(new PlatformConnection({ baseUrl }));
 * const result = await list.list();
 * ```
 */
export class HttpInstanceList extends InstanceList {
  readonly #connection: PlatformConnection;

  constructor(connection: PlatformConnection) {
    super();
    this.#connection = connection;
  }

  override async list(): Promise<ListInstancesResult> {
    const path = "/v1/instances";
    const response = await this.#connection.call({ method: "GET", path });
    return response
      .andThen((received) => decode(received, { schema: INSTANCES }))
      .match<ListInstancesResult, ListInstancesResult>(
        ({ instances }) => ({ status: StoreStatus.Ok, instances }),
        toStoreFailure,
      );
  }

  override close(): Promise<void> {
    return this.#connection.close();
  }
}

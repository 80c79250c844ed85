import { type ListInstancesResult, StoreStatus } from "@mustardweir/protocol";
import { decode, INSTANCES, toFailure } from "./answers.ts";
import type { PlatformConnection } from "./connection.ts";

/** The platform's lagging list of instances; its methods never reject. */
export abstract class InstanceList {
  /** All listed processes, as they were some time ago. */
  abstract list(): Promise<ListInstancesResult>;

  /** Ends what the list holds open. */
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
    const answer = await this.#connection.call({ method: "GET", path });
    return answer
      .andThen((found) => decode(found, { schema: INSTANCES }))
      .match<ListInstancesResult, ListInstancesResult>(
        ({ instances }) => ({ status: StoreStatus.Ok, instances }),
        toFailure,
      );
  }

  override close(): Promise<void> {
    return this.#connection.close();
  }
}

import { request } from "undici";

/** A scheduler on the platform's instance list. */
export interface ListedScheduler {
  readonly nodeId: string;
  readonly address: string;
  readonly availabilityZone: string;
  readonly leaving: boolean;
}

/** The owner of a unit, from the platform's table. */
export interface OwnershipView {
  /** `home/` and the team, or `slice/` and its id. */
  readonly unit: string;
  readonly owner: string;
  readonly epoch: number;
}

/** Faults of the stand-in; omitted ones are inactive. */
export interface PlatformFaults {
  readonly down?: boolean;
  readonly silent?: boolean;
  readonly slowMs?: number;
  readonly loseAnswers?: number;
  readonly lateWrites?: number;
  readonly lateMs?: number;
}

const OWNERSHIP_PREFIX = "owner/";

interface TableScan {
  readonly rows: readonly { readonly key: string; readonly value: string }[];
}

/** Controls the stand-in for the platform over HTTP. */
export class PlatformControl {
  readonly #base: string;

  constructor(base: string) {
    this.#base = base;
  }

  /** Adds a scheduler to the instance list, or updates it. */
  async list(scheduler: ListedScheduler): Promise<void> {
    const { nodeId, ...rest } = scheduler;
    const body = { role: "scheduler", ...rest };
    await this.#send("PUT", `/v1/instances/${nodeId}`, body);
  }

  /** Removes a node from the instance list. */
  async unlist(nodeId: string): Promise<void> {
    await this.#send("DELETE", `/v1/instances/${nodeId}`);
  }

  async setFaults(faults: PlatformFaults): Promise<void> {
    await this.#send("PUT", "/v1/faults", faults);
  }

  /** Reads all owners from the table; fails while the platform is down. */
  async owners(): Promise<OwnershipView[]> {
    const path = `/v1/table/rows?prefix=${OWNERSHIP_PREFIX}`;
    const res = await request(this.#base + path);
    const { rows } = await res.body.json() as TableScan;
    return rows.map(({ key, value }) => ({
      ...JSON.parse(value) as Omit<OwnershipView, "unit">,
      unit: key.slice(OWNERSHIP_PREFIX.length),
    }));
  }

  async #send(
    method: "PUT" | "DELETE",
    path: string,
    body?: object,
  ): Promise<void> {
    const res = await request(this.#base + path, {
      method,
      headers: { "content-type": "application/json" },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    await res.body.dump();
  }
}

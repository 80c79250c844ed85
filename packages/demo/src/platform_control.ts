import { request } from "undici";

/** A scheduler as the platform's list of instances shows it. */
export interface ListedScheduler {
  readonly nodeId: string;
  readonly address: string;
  readonly availabilityZone: string;
  readonly leaving: boolean;
}

/** A row of the table that names an owner. */
export interface OwnershipView {
  /** `home/` and the team, or `slice/` and its id. */
  readonly unit: string;
  readonly owner: string;
  readonly epoch: number;
}

/** Faults of the stand-in; those that are left out are off. */
export interface PlatformFaults {
  readonly down?: boolean;
  readonly silent?: boolean;
  readonly slowMs?: number;
  readonly loseAnswers?: number;
  readonly lateWrites?: number;
  readonly lateMs?: number;
}

const OWNERSHIP_PREFIX = "owner/";

interface TablePage {
  readonly rows: readonly { readonly key: string; readonly value: string }[];
}

/** Operates the stand-in of the platform. */
export class PlatformControl {
  readonly #base: string;

  constructor(base: string) {
    this.#base = base;
  }

  async list(scheduler: ListedScheduler): Promise<void> {
    const { nodeId, ...rest } = scheduler;
    const body = { role: "scheduler", ...rest };
    await this.#send("PUT", `/v1/instances/${nodeId}`, body);
  }

  async unlist(nodeId: string): Promise<void> {
    await this.#send("DELETE", `/v1/instances/${nodeId}`);
  }

  async setFaults(faults: PlatformFaults): Promise<void> {
    await this.#send("PUT", "/v1/faults", faults);
  }

  /** Who owns what, by the table; not while the platform is down. */
  async owners(): Promise<OwnershipView[]> {
    const path = `/v1/table/rows?prefix=${OWNERSHIP_PREFIX}`;
    const res = await request(this.#base + path);
    const { rows } = await res.body.json() as TablePage;
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

import { setTimeout as delay } from "node:timers/promises";
import type { Api } from "./api.ts";
import { OPERATOR_KEY } from "./cluster.ts";

/** Tries of one edit before the demo gives up. */
const MAX_TRIES = 60;

/** Wait between tries, in milliseconds. */
const RETRY_MS = 200;

interface EditAnswer {
  readonly version: number;
  readonly key?: string;
}

/** An operator who edits the configuration through one entry. */
export class Operator {
  readonly #api: Api;
  #version = 0;

  constructor(api: Api) {
    this.#api = api;
  }

  async put(section: "inventory" | "rules", body: unknown): Promise<void> {
    await this.#edit("PUT", `/v1/config/${section}`, body);
  }

  /** Grants a submitter's key and returns it. */
  async grantKey(team: string, id = `${team}-key`): Promise<string> {
    const body = { id, role: "submitter", team };
    const answer = await this.#edit("POST", "/v1/config/keys", body);
    return answer.key ?? "";
  }

  async withdrawKey(id: string): Promise<void> {
    await this.#edit("DELETE", `/v1/config/keys/${id}`);
  }

  async drain(zone: string): Promise<void> {
    await this.#edit("POST", `/v1/config/zones/${zone}/drain`);
  }

  async return(zone: string): Promise<void> {
    await this.#edit("POST", `/v1/config/zones/${zone}/return`);
  }

  async #edit(
    method: "PUT" | "POST" | "DELETE",
    path: string,
    body?: unknown,
  ): Promise<EditAnswer> {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const answer = await this.#api.call<EditAnswer>({
        method,
        path,
        key: OPERATOR_KEY,
        body,
        headers: { "if-match": `"${this.#version}"` },
      });
      if (answer.status >= 200 && answer.status < 300) {
        this.#version = answer.body.version;
        return answer.body;
      }
      await delay(RETRY_MS);
      await this.#refresh();
    }
    throw new Error(`The edit of ${path} was not accepted`);
  }

  async #refresh(): Promise<void> {
    const answer = await this.#api.call<{ version?: number }>({
      method: "GET",
      path: "/v1/config",
      key: OPERATOR_KEY,
    });
    this.#version = answer.body?.version ?? this.#version;
  }
}

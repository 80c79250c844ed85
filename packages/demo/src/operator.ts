import { setTimeout as delay } from "node:timers/promises";
import type { Api } from "./api.ts";
import { OPERATOR_KEY } from "./cluster.ts";

/** Maximum number of attempts of one edit. */
const MAX_ATTEMPTS = 60;

/** Delay between attempts, in milliseconds. */
const RETRY_DELAY_MS = 200;

interface EditAnswer {
  readonly version: number;
  readonly key?: string;
}

/** Edits the configuration through one entry, with the operator key. */
export class Operator {
  readonly #api: Api;
  #version = 0;

  constructor(api: Api) {
    this.#api = api;
  }

  async put(section: "inventory" | "rules", body: unknown): Promise<void> {
    await this.#edit("PUT", `/v1/config/${section}`, body);
  }

  /** Grants a submitter key for `team` and returns it. */
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
    for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts++) {
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
      await delay(RETRY_DELAY_MS);
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

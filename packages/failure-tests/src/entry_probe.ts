import { type EntryAddress, OPERATOR_KEY } from "@mustardweir/demo";
import { request } from "undici";
import type { Caller } from "./caller.ts";

/**
 * True when a balancer may send callers to the entry.
 *
 * @example
 * ```ts
 * const ready = await isReady(entry);
 * ```
 */
export async function isReady({ url }: EntryAddress): Promise<boolean> {
  const res = await request(`${url}/readyz`);
  await res.body.dump();
  return res.statusCode === 200;
}

/**
 * Status of a call of one entry with a key; 200 when the key is in force.
 *
 * @example
 * ```ts
 * const status = await statusOfKey(caller, key);
 * ```
 */
export async function statusOfKey(
  caller: Caller,
  key: string,
): Promise<number> {
  const call = { method: "GET", path: "/v1/teams", key } as const;
  return (await caller.call(call)).status;
}

/**
 * The version that an entry has in force; 0 when it does not say.
 *
 * @example
 * ```ts
 * const version = await versionAt(caller);
 * ```
 */
export async function versionAt(caller: Caller): Promise<number> {
  const answer = await caller.call<{ version?: number }>({
    method: "GET",
    path: "/v1/config",
    key: OPERATOR_KEY,
  });
  return answer.status === 200 ? answer.body.version ?? 0 : 0;
}

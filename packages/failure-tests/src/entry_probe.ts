import { type EntryAddress, OPERATOR_KEY } from "@mustardweir/demo";
import { request } from "undici";
import type { Caller } from "./caller.ts";

/**
 * Returns whether a load balancer may send callers to the entry.
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
 * Returns the HTTP status of a call with a key; 200 if the key is in effect.
 *
 * @example
 * ```ts
 * const status = await fetchStatusWithKey(caller, key);
 * ```
 */
export async function fetchStatusWithKey(
  caller: Caller,
  key: string,
): Promise<number> {
  const call = { method: "GET", path: "/v1/teams", key } as const;
  return (await caller.call(call)).status;
}

/**
 * Returns the entry's configuration version; 0 if the entry doesn't report one.
 *
 * @example
 * ```ts
 * const version = await fetchVersion(caller);
 * ```
 */
export async function fetchVersion(caller: Caller): Promise<number> {
  const answer = await caller.call<{ version?: number }>({
    method: "GET",
    path: "/v1/config",
    key: OPERATOR_KEY,
  });
  return answer.status === 200 ? answer.body.version ?? 0 : 0;
}

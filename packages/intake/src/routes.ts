import type { DesiredState, JobQueue } from "@mustardweir/model";

/** A job id: 16 hexadecimal digits, chosen by the caller. */
const JOB_ID = /^[0-9a-fA-F]{16}$/;

/** Where a call leads. */
export interface Route {
  readonly queue: JobQueue;
  /** What follows the queue's prefix. */
  readonly rest: string;
}

/**
 * The queue of a call: that of its host with the longest prefix of its path.
 *
 * @example
 * ```ts
 * findRoute(desired, { host: "a.example", path: "/plans/5c0e7a21d94b36f8" });
 * ```
 */
export function findRoute(
  { queues }: DesiredState,
  { host, path }: { readonly host: string; readonly path: string },
): Route | undefined {
  let best: JobQueue | undefined;
  for (const queue of queues) {
    if (
      queue.host === host && path.startsWith(queue.pathPrefix) &&
      queue.pathPrefix.length > (best?.pathPrefix.length ?? -1)
    ) {
      best = queue;
    }
  }
  return best && { queue: best, rest: path.slice(best.pathPrefix.length) };
}

/** True when the text can be the id of a job. */
export function isJobId(text: string): boolean {
  return JOB_ID.test(text);
}

/** The team that a key belongs to. */
export function teamOfKey(
  { teams }: DesiredState,
  key: string,
): string | undefined {
  return key === ""
    ? undefined
    : teams.find((team) => team.keys.includes(key))?.name;
}

import type { DesiredState, JobQueue } from "@mustardweir/model";

/** Format of a job id, which the caller chooses: 16 hexadecimal digits. */
const JOB_ID = /^[0-9a-fA-F]{16}$/;

/** The queue that a call addresses. */
export interface Route {
  readonly queue: JobQueue;
  /** Rest of the path after the queue's prefix. */
  readonly suffix: string;
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
  return best && { queue: best, suffix: path.slice(best.pathPrefix.length) };
}

/** Returns whether the text is a valid job id. */
export function isJobId(text: string): boolean {
  return JOB_ID.test(text);
}

/** Returns the name of the team that the key belongs to. */
export function teamOfKey(
  { teams }: DesiredState,
  key: string,
): string | undefined {
  return key === ""
    ? undefined
    : teams.find((team) => team.keys.includes(key))?.name;
}

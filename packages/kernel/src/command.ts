/** A typed name under which handlers are registered and payloads sent. */
export interface Command<Payload> {
  readonly name: string;
  /** @internal Only carries the payload's type; never set. */
  readonly payloadType?: Payload;
}

/**
 * Creates a command. Commands are compared by identity.
 *
 * @example
 * ```ts
 * const JOB_SUBMITTED = createCommand<{ jobId: string }>("job-submitted");
 * ```
 */
export function createCommand<Payload>(name: string): Command<Payload> {
  return { name };
}

/** Handlers run from the highest priority to the lowest. */
export enum CommandPriority {
  Critical = 4,
  High = 3,
  Normal = 2,
  Low = 1,
  /** Observes the result of the other handlers; should not return true. */
  Observer = 0,
}

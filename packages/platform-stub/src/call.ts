/** Whether a call may change something. */
export enum CallKind {
  Read = "read",
  Write = "write",
}

/** What the platform says to a call. */
export interface Answer {
  /** HTTP status code. */
  readonly code: number;
  readonly body: string;
}

/** A call that has been read and checked but has not taken effect. */
export interface Call {
  readonly kind: CallKind;
  /** Carries the call out at the moment it is run. */
  readonly apply: () => Answer;
}

/** What the caller gets to see of a call. */
export enum OutcomeKind {
  Answered = "answered",
  /** The connection is closed without an answer. */
  Disconnected = "disconnected",
  /** The connection stays open without an answer. */
  Silent = "silent",
}

/** What the caller gets to see of its call. */
export type Outcome =
  | { readonly kind: OutcomeKind.Answered; readonly answer: Answer }
  | { readonly kind: OutcomeKind.Disconnected | OutcomeKind.Silent };

/**
 * Makes an answer whose body is JSON.
 *
 * @example
 * ```ts
 * jsonAnswer(404, { error: "No such object" });
 * ```
 */
export function jsonAnswer(code: number, body: object): Answer {
  return { code, body: JSON.stringify(body) };
}

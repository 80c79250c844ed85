/** Whether a request can change state. */
export enum RequestKind {
  Read = "read",
  Write = "write",
}

/** The platform's response to a request. */
export interface PlatformResponse {
  /** HTTP status code. */
  readonly code: number;
  readonly body: string;
}

/** A parsed and validated request that has not taken effect yet. */
export interface PlatformRequest {
  readonly kind: RequestKind;
  /** Executes the request and returns the response to it. */
  readonly apply: () => PlatformResponse;
}

/** The kinds of outcome that a client can observe. */
export enum RequestOutcomeKind {
  Answered = "answered",
  /** The connection is closed without a response. */
  Disconnected = "disconnected",
  /** The connection stays open without a response. */
  Silent = "silent",
}

/** The outcome of a request as its client observes it. */
export type RequestOutcome =
  | {
    readonly kind: RequestOutcomeKind.Answered;
    readonly answer: PlatformResponse;
  }
  | {
    readonly kind: RequestOutcomeKind.Disconnected | RequestOutcomeKind.Silent;
  };

/**
 * Creates a response with a JSON body.
 *
 * @example
 * ```ts
 * jsonResponse(404, { error: "No such object" });
 * ```
 */
export function jsonResponse(code: number, body: object): PlatformResponse {
  return { code, body: JSON.stringify(body) };
}

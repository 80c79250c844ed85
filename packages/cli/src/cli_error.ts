import { err, type Result } from "neverthrow";

/** Exit codes of the program; they are stable, scripts may rely on them. */
export enum ExitCode {
  Ok = 0,
  /** The entry refused the call. */
  Refused = 1,
  /** The command line or a file is invalid. */
  Usage = 2,
  /** No entry responded, or the response was not that of an entry. */
  Unreachable = 3,
  /** The configuration has changed since it was read. */
  Stale = 4,
  /** The awaited job did not complete. */
  JobFailed = 5,
  /** `diff` found differences. */
  Different = 6,
}

/** The meaning of each exit code, for the help text. */
export const EXIT_CODE_HELP: Readonly<Record<ExitCode, string>> = {
  [ExitCode.Ok]: "done",
  [ExitCode.Refused]:
    "the entry refused the call, for example because a key was withdrawn",
  [ExitCode.Usage]: "the command line or a file is invalid; nothing was sent",
  [ExitCode.Unreachable]: "no entry responded",
  [ExitCode.Stale]: "the configuration has changed since it was read",
  [ExitCode.JobFailed]: "the awaited job did not complete",
  [ExitCode.Different]: "diff found differences",
};

/** The failure of a command. */
export interface CliError {
  readonly exitCode: ExitCode;
  /** One line for the user. */
  readonly message: string;
  /** Further lines, printed below the message. */
  readonly details?: readonly string[];
  /** The outcome that the entry reported for the requested work. */
  readonly outcome?: string;
  /** The reason code with which the entry refused the call. */
  readonly reason?: string;
  /** Whether the same call may succeed later; false by default. */
  readonly mayRetry?: boolean;
}

/** A failure in the form that `--json` prints. */
export interface ErrorJson {
  readonly error: {
    readonly message: string;
    readonly exitCode: ExitCode;
    /** Set when an entry refused the call. */
    readonly reason?: string;
    readonly outcome?: string;
    /** Whether the same call may succeed later. */
    readonly retryable: boolean;
    readonly details?: readonly string[];
  };
}

/**
 * Returns a failure in the form that `--json` prints.
 *
 * @example
 * ```ts
 * printError(JSON.stringify(errorJson(error)));
 * ```
 */
export function errorJson(error: CliError): ErrorJson {
  const { message, exitCode, reason, outcome, details } = error;
  const retryable = error.mayRetry ?? false;
  return { error: { message, exitCode, reason, outcome, retryable, details } };
}

/** Creates a failed result; line breaks in the message become spaces. */
export function fail<Value>(
  exitCode: ExitCode,
  message: string,
): Result<Value, CliError> {
  return err({ exitCode, message: message.replaceAll(/\s*\n\s*/g, " ") });
}

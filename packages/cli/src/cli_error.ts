import { err, type Result } from "neverthrow";

/** How the program ends; stable, so that scripts may rely on it. */
export enum ExitCode {
  Ok = 0,
  /** The entry refused the call. */
  Refused = 1,
  /** The command line or a file is wrong. */
  Usage = 2,
  /** No entry answered. */
  Unreachable = 3,
  /** The configuration has changed since it was read. */
  Stale = 4,
  /** The job that was waited for did not complete. */
  JobFailed = 5,
  /** `diff` found differences. */
  Different = 6,
}

/** One line for each exit code, for the help. */
export const EXIT_CODE_HELP: Readonly<Record<ExitCode, string>> = {
  [ExitCode.Ok]: "done",
  [ExitCode.Refused]: "the entry refused the call, such as for a withdrawn key",
  [ExitCode.Usage]: "the command line or a file is wrong; nothing was sent",
  [ExitCode.Unreachable]: "no entry answered",
  [ExitCode.Stale]: "the configuration has changed since it was read",
  [ExitCode.JobFailed]: "the job that was waited for did not complete",
  [ExitCode.Different]: "diff found differences",
};

/** Why a command failed. */
export interface CliError {
  readonly exitCode: ExitCode;
  /** One line for people. */
  readonly message: string;
  /** More lines, printed below the message. */
  readonly details?: readonly string[];
  /** What the entry said of the call's work. */
  readonly outcome?: string;
  /** Why the entry refused the call. */
  readonly reason?: string;
  /** True when the same call may succeed later. */
  readonly mayRetry?: boolean;
}

/** A failure as `--json` prints it. */
export interface ErrorJson {
  readonly error: {
    readonly message: string;
    readonly exitCode: ExitCode;
    /** Set when an entry refused the call. */
    readonly reason?: string;
    readonly outcome?: string;
    /** True when the same call may succeed later. */
    readonly retryable: boolean;
    readonly details?: readonly string[];
  };
}

/**
 * Encodes a failure for scripts.
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

/** Makes a failed result. */
export function fail<Value>(
  exitCode: ExitCode,
  message: string,
): Result<Value, CliError> {
  return err({ exitCode, message: message.replaceAll(/\s*\n\s*/g, " ") });
}

import { err, type Result } from "neverthrow";

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
}

/** Why a command failed. */
export interface CliError {
  readonly exitCode: ExitCode;
  /** One line for people. */
  readonly message: string;
  /** True when the entry said that nothing came of the call. */
  readonly isNotRun?: boolean;
}

/** Makes a failed result. */
export function fail<Value>(
  exitCode: ExitCode,
  message: string,
): Result<Value, CliError> {
  return err({ exitCode, message: message.replaceAll(/\s*\n\s*/g, " ") });
}

import {
  type ConsolaInstance,
  type ConsolaReporter,
  createConsola,
  LogLevels,
  type LogObject,
} from "consola";

/** Format of log lines. */
export enum LogFormat {
  Text = "text",
  Json = "json",
}

/** Severity of a log line, highest first. */
export enum LogLevel {
  Error = "error",
  Warn = "warn",
  Info = "info",
  Debug = "debug",
}

/** Named values of a log line; must not contain access keys or bodies. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Format, level and output of a logger. */
export interface LoggerOptions {
  /** Id of the node, part of every line. */
  readonly node: string;
  /** `LogFormat.Text` by default. */
  readonly format?: LogFormat;
  /** Lowest level that is written; `LogLevel.Info` by default. */
  readonly level?: LogLevel;
  /** Writes a line, with its line end; to standard error by default. */
  readonly write?: (line: string) => void;
  /** Returns false for a line that is to be dropped unbuilt; none by default. */
  readonly admit?: (fields: LogFields) => boolean;
}

/**
 * Writes one line for each entry, as text or JSON.
 *
 * @example
 * ```ts
 * const logger = createLogger({ node: "s1", format: LogFormat.Json });
 * logger.info("Zone closed", { availabilityZone: "tx-a" });
 * ```
 */
export class Logger {
  readonly #consola: ConsolaInstance;
  readonly #admit: (fields: LogFields) => boolean;

  constructor(
    consola: ConsolaInstance,
    admit: (fields: LogFields) => boolean = () => true,
  ) {
    this.#consola = consola;
    this.#admit = admit;
  }

  /** Writes a line of level `LogLevel.Debug`. */
  debug(message: string, fields: LogFields = {}): void {
    this.#consola.debug(message, fields);
  }

  /** Writes a line of level `LogLevel.Info`. */
  info(message: string, fields: LogFields = {}): void {
    if (this.#admit(fields)) {
      this.#consola.info(message, fields);
    }
  }

  /** Writes a line of level `LogLevel.Warn`. */
  warn(message: string, fields: LogFields = {}): void {
    this.#consola.warn(message, fields);
  }

  /** Writes a line of level `LogLevel.Error`. */
  error(message: string, fields: LogFields = {}): void {
    this.#consola.error(message, fields);
  }
}

/**
 * Creates the logger of a process; see {@link Logger}.
 *
 * @example
 * ```ts
 * const logger = createLogger({ node: "s1", format: LogFormat.Json });
 * ```
 */
export function createLogger(options: LoggerOptions): Logger {
  const { node, format = LogFormat.Text, level = LogLevel.Info } = options;
  const reporter = new LineReporter({
    node,
    render: format === LogFormat.Json ? renderJson : renderText,
    write: options.write ?? ((line) => process.stderr.write(line)),
  });
  const consola = createConsola({
    level: LogLevels[level],
    reporters: [reporter],
    throttle: 0,
  });
  return new Logger(consola, options.admit);
}

interface LogEntry {
  readonly time: string;
  readonly level: string;
  readonly node: string;
  readonly message: string;
  readonly fields: LogFields;
}

interface LineReporterOptions {
  readonly node: string;
  readonly render: (entry: LogEntry) => string;
  readonly write: (line: string) => void;
}

class LineReporter implements ConsolaReporter {
  readonly #options: LineReporterOptions;

  constructor(options: LineReporterOptions) {
    this.#options = options;
  }

  log({ date, type, args }: LogObject): void {
    const { node, render, write } = this.#options;
    const [message, fields] = args as [string, LogFields];
    const time = date.toISOString();
    write(`${render({ time, level: type, node, message, fields })}\n`);
  }
}

function renderJson(entry: LogEntry): string {
  return JSON.stringify(entry);
}

function renderText({ time, level, node, message, fields }: LogEntry): string {
  const pairs = Object.entries(fields).map(([name, value]) =>
    `${name}=${JSON.stringify(value)}`
  );
  return [time, level.toUpperCase(), node, message, ...pairs].join(" ");
}

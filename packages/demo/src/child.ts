import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { setTimeout as delay } from "node:timers/promises";

/** Matches the line that a process prints when it listens. */
const READY_LINE = /listening on|is ready/;

/** Longest wait for the ready line of a process, in milliseconds. */
const START_TIMEOUT_MS = 15_000;

/** Longest wait for a process to end after SIGTERM, in milliseconds. */
const STOP_TIMEOUT_MS = 8_000;

/** The process to start. */
export interface StartChildOptions {
  readonly name: string;
  /** Path of the executable. */
  readonly script: string;
  readonly args: readonly string[];
  /** Called with each line that the process prints. */
  readonly onLine?: (line: string) => void;
}

/** A child process of the launcher. */
export class Child {
  readonly name: string;
  readonly #process: ChildProcess;
  readonly #exited: Promise<void>;
  readonly #readyLine: Promise<string>;

  constructor(options: StartChildOptions) {
    this.name = options.name;
    this.#process = spawn(options.script, options.args, {
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#exited = new Promise((resolve) => {
      this.#process.once("exit", () => resolve());
    });
    this.#readyLine = this.#readLines(options.onLine);
  }

  /** Whether the process is still running. */
  get isRunning(): boolean {
    return this.#process.exitCode === null && this.#process.signalCode === null;
  }

  /** Null while the process runs, or if a signal ended it. */
  get exitCode(): number | null {
    return this.#process.exitCode;
  }

  get pid(): number | undefined {
    return this.#process.pid;
  }

  /**
   * Waits for the ready line and returns it. Rejects if the process ends first
   * or is not ready within `START_TIMEOUT_MS`.
   */
  async ready(): Promise<string> {
    const line = await Promise.race([
      this.#readyLine,
      this.#exited,
      this.#failAfterStartTimeout().catch((error: Error) => error),
    ]);
    if (typeof line === "string") {
      return line;
    }
    throw line ?? new Error(`${this.name} exited before it was listening`);
  }

  /** Sends a signal and doesn't wait for the process to end. */
  signal(name: NodeJS.Signals): void {
    this.#process.kill(name);
  }

  /**
   * Ends the process gracefully, or by SIGKILL after `STOP_TIMEOUT_MS`. SIGCONT
   * comes first because a suspended process does not handle SIGTERM.
   */
  async stop(): Promise<void> {
    if (!this.isRunning) {
      return;
    }
    this.signal("SIGCONT");
    this.signal("SIGTERM");
    const force = setTimeout(() => this.signal("SIGKILL"), STOP_TIMEOUT_MS);
    await this.#exited;
    clearTimeout(force);
  }

  /** Ends the process by SIGKILL and waits for its end. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.#exited;
  }

  async exited(): Promise<void> {
    await this.#exited;
  }

  /** Resolves to the first ready line on either output stream. */
  #readLines(onLine?: (line: string) => void): Promise<string> {
    return new Promise((resolve) => {
      for (const stream of [this.#process.stdout, this.#process.stderr]) {
        if (stream === null) {
          continue;
        }
        createInterface({ input: stream }).on("line", (line) => {
          onLine?.(line);
          if (READY_LINE.test(line)) {
            resolve(line);
          }
        });
      }
    });
  }

  async #failAfterStartTimeout(): Promise<never> {
    await delay(START_TIMEOUT_MS, undefined, { ref: false });
    throw new Error(`${this.name} was not listening in time`);
  }
}

import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { setTimeout as delay } from "node:timers/promises";

/** What a process prints when it listens. */
const READY_LINE = /listening on|is ready/;

/** Longest wait for a process to say that it listens, in milliseconds. */
const START_TIMEOUT_MS = 15_000;

/** Longest wait for a process to end after it was told to. */
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

/** A process that the launcher started and will end. */
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

  /** True until the process has ended. */
  get isRunning(): boolean {
    return this.#process.exitCode === null && this.#process.signalCode === null;
  }

  /** Null while it runs, or when a signal ended it. */
  get exitCode(): number | null {
    return this.#process.exitCode;
  }

  get pid(): number | undefined {
    return this.#process.pid;
  }

  /** Waits for the line that says that the process listens. */
  async ready(): Promise<string> {
    const line = await Promise.race([
      this.#readyLine,
      this.#exited,
      this.#lateStart().catch((error: Error) => error),
    ]);
    if (typeof line === "string") {
      return line;
    }
    throw line ?? new Error(`${this.name} ended before it listened`);
  }

  /** Sends a signal; ending it is not waited for. */
  signal(name: NodeJS.Signals): void {
    this.#process.kill(name);
  }

  /** Ends the process as planned, or by force when it takes too long. */
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

  /** Ends the process by force. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.#exited;
  }

  async exited(): Promise<void> {
    await this.#exited;
  }

  /** The first line, on either stream, that says the process listens. */
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

  async #lateStart(): Promise<never> {
    await delay(START_TIMEOUT_MS, undefined, { ref: false });
    throw new Error(`${this.name} did not listen`);
  }
}

import { write, writeSync } from "node:fs";

/** How lines are written. */
export interface LineWriterOptions {
  /** 1, standard output, by default. */
  readonly descriptor?: number;
  /** Lines a second beyond which lines are left out; 300 by default. */
  readonly maxLinesPerSecond?: number;
  /** Text that waits at most, in bytes; 256 KiB by default. */
  readonly maxWaitingBytes?: number;
  /** Called with the number of lines left out, once for each second. */
  readonly onLeftOut?: (lines: number) => void;
  /** Monotonic time in milliseconds; that of the process by default. */
  readonly now?: () => number;
}

const STANDARD_OUTPUT = 1;
/** A busy node writes under 100 lines a second; bursts are three times that. */
const DEFAULT_LINES_PER_SECOND = 300;
const DEFAULT_WAITING_BYTES = 256 * 1024;
/** Lines are gathered for so long before they are written, in milliseconds. */
const GATHER_MS = 50;
const SECOND_MS = 1_000;

/**
 * Writes lines in batches, without ever waiting for the reader. Lines beyond
 * the budget of a second, or of the memory for waiting text, are counted and
 * left out.
 *
 * @example
 * ```ts
 * const writer = new LineWriter({ onLeftOut: (lines) => metrics.count("x") });
 * writer.write("hello\n");
 * ```
 */
export class LineWriter {
  readonly #options: LineWriterOptions;
  readonly #descriptor: number;
  #waiting: string[] = [];
  #waitingBytes = 0;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;
  #secondStart = 0;
  #linesInSecond = 0;
  #leftOut = 0;

  constructor(options: LineWriterOptions = {}) {
    this.#options = options;
    this.#descriptor = options.descriptor ?? STANDARD_OUTPUT;
    process.once("exit", () => this.flush());
  }

  /** Takes a line, with its line end. Urgent lines don't count. */
  write(line: string, isUrgent = false): void {
    const {
      maxLinesPerSecond = DEFAULT_LINES_PER_SECOND,
      maxWaitingBytes = DEFAULT_WAITING_BYTES,
      now = () => performance.now(),
    } = this.#options;
    this.#startSecond(now());
    const isOver = this.#linesInSecond >= maxLinesPerSecond ||
      this.#waitingBytes + line.length > maxWaitingBytes;
    if (isOver && !isUrgent) {
      this.#leftOut++;
      return;
    }
    this.#linesInSecond++;
    this.#waiting.push(line);
    this.#waitingBytes += line.length;
    this.#timer ??= setTimeout(() => this.#send(), GATHER_MS);
  }

  /** Writes what waits before the process ends. */
  flush(): void {
    const text = this.#take();
    if (text !== "") {
      try {
        writeSync(this.#descriptor, text);
      } catch {
        // The reader is gone or full, and there is nobody left to tell.
      }
    }
  }

  #startSecond(now: number): void {
    if (now - this.#secondStart < SECOND_MS) {
      return;
    }
    const leftOut = this.#leftOut;
    this.#secondStart = now;
    this.#linesInSecond = 0;
    this.#leftOut = 0;
    if (leftOut > 0) {
      this.#options.onLeftOut?.(leftOut);
    }
  }

  #send(): void {
    this.#timer = undefined;
    if (this.#isWriting) {
      return;
    }
    const text = this.#take();
    if (text === "") {
      return;
    }
    this.#isWriting = true;
    write(this.#descriptor, text, () => {
      this.#isWriting = false;
      if (this.#waiting.length > 0) {
        this.#timer ??= setTimeout(() => this.#send(), GATHER_MS);
      }
    });
  }

  #take(): string {
    const text = this.#waiting.join("");
    this.#waiting = [];
    this.#waitingBytes = 0;
    return text;
  }
}

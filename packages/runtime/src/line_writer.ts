import { write, writeSync } from "node:fs";

/** Output and limits of a line writer. */
export interface LineWriterOptions {
  /** File descriptor; 1, standard output, by default. */
  readonly descriptor?: number;
  /** Lines per second above which lines are dropped; 300 by default. */
  readonly maxLinesPerSecond?: number;
  /** Maximum size of the text not yet written; 256 Ki characters by default. */
  readonly maxPendingBytes?: number;
  /** Called with the number of dropped lines, at most once per second. */
  readonly onLinesDropped?: (lines: number) => void;
  /** Monotonic time in milliseconds; that of the process by default. */
  readonly now?: () => number;
}

const STANDARD_OUTPUT = 1;
/** A busy node writes under 100 lines per second; bursts reach 300. */
const DEFAULT_MAX_LINES_PER_SECOND = 300;
const DEFAULT_MAX_PENDING_BYTES = 256 * 1024;
/** Delay before a batch of lines is written, in milliseconds. */
const BATCH_DELAY_MS = 50;
const SECOND_MS = 1_000;

/**
 * Writes lines in batches, without blocking on a slow reader. Lines above the
 * limit per second or of pending text are dropped and counted.
 *
 * @example
 * ```ts
 * const writer = new LineWriter({ onLinesDropped: (lines) => metrics.count("x") });
 * writer.write("hello\n");
 * ```
 */
export class LineWriter {
  readonly #options: LineWriterOptions;
  readonly #descriptor: number;
  #pending: string[] = [];
  #pendingBytes = 0;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;
  #secondStart = 0;
  #linesInSecond = 0;
  #droppedLines = 0;

  constructor(options: LineWriterOptions = {}) {
    this.#options = options;
    this.#descriptor = options.descriptor ?? STANDARD_OUTPUT;
    process.once("exit", () => this.flush());
  }

  /**
   * Returns whether another line is within the limits, so that a line that
   * would be dropped need not be built; otherwise counts it as dropped.
   */
  admit(): boolean {
    this.#startSecond(this.#now());
    const {
      maxLinesPerSecond = DEFAULT_MAX_LINES_PER_SECOND,
      maxPendingBytes = DEFAULT_MAX_PENDING_BYTES,
    } = this.#options;
    const hasRoom = this.#linesInSecond < maxLinesPerSecond &&
      this.#pendingBytes < maxPendingBytes;
    this.#droppedLines += hasRoom ? 0 : 1;
    return hasRoom;
  }

  /** Queues a line, with its line end. Urgent lines are never dropped. */
  write(line: string, isUrgent = false): void {
    const {
      maxLinesPerSecond = DEFAULT_MAX_LINES_PER_SECOND,
      maxPendingBytes = DEFAULT_MAX_PENDING_BYTES,
    } = this.#options;
    this.#startSecond(this.#now());
    const exceedsLimit = this.#linesInSecond >= maxLinesPerSecond ||
      this.#pendingBytes + line.length > maxPendingBytes;
    if (exceedsLimit && !isUrgent) {
      this.#droppedLines++;
      return;
    }
    this.#linesInSecond++;
    this.#pending.push(line);
    this.#pendingBytes += line.length;
    this.#timer ??= setTimeout(() => this.#writeBatch(), BATCH_DELAY_MS);
  }

  /** Writes the pending lines synchronously, before the process ends. */
  flush(): void {
    const text = this.#takePending();
    if (text !== "") {
      try {
        writeSync(this.#descriptor, text);
      } catch {
        // The reader is gone or its pipe is full; the process is ending.
      }
    }
  }

  #now(): number {
    return this.#options.now?.() ?? performance.now();
  }

  #startSecond(now: number): void {
    if (now - this.#secondStart < SECOND_MS) {
      return;
    }
    const droppedLines = this.#droppedLines;
    this.#secondStart = now;
    this.#linesInSecond = 0;
    this.#droppedLines = 0;
    if (droppedLines > 0) {
      this.#options.onLinesDropped?.(droppedLines);
    }
  }

  #writeBatch(): void {
    this.#timer = undefined;
    if (this.#isWriting) {
      return;
    }
    const text = this.#takePending();
    if (text === "") {
      return;
    }
    this.#isWriting = true;
    write(this.#descriptor, text, () => {
      this.#isWriting = false;
      if (this.#pending.length > 0) {
        this.#timer ??= setTimeout(() => this.#writeBatch(), BATCH_DELAY_MS);
      }
    });
  }

  #takePending(): string {
    const text = this.#pending.join("");
    this.#pending = [];
    this.#pendingBytes = 0;
    return text;
  }
}

import {
  createPlugins,
  Kernel,
  mergeUndo,
  type Plugin,
  type Undo,
} from "@mustardweir/kernel";
import {
  EffectKind,
  NODE_IDENTITY,
  type NodeIdentity,
  STOP_REQUESTED,
} from "@mustardweir/protocol";
import { EventLoop } from "./event_loop.ts";
import type { LogFields, Logger } from "./logger.ts";
import { LogPerformer } from "./log_performer.ts";
import { Metrics } from "./metrics.ts";
import { MetricsPerformer } from "./metrics_performer.ts";
import { Performer } from "./performer.ts";
import {
  type ProcessHost,
  StopSignal,
  SystemProcessHost,
} from "./process_host.ts";
import type { Readiness } from "./readiness.ts";

const DEFAULT_STOP_TIMEOUT_MS = 10_000;
/**
 * Part of the time for a stop that is kept for closing connections once nothing
 * more can arrive, in milliseconds.
 */
const CLOSE_ALLOWANCE_MS = 300;
/**
 * Most errors of events in {@link ERROR_WINDOW_MS} that a process survives: one
 * event may be at fault, with many the process itself is.
 */
const MAX_ERRORS = 20;
/** Span in which errors of events are counted, in milliseconds. */
const ERROR_WINDOW_MS = 10_000;

/** Exit codes of a node's process. */
export enum ExitCode {
  Stopped = 0,
  Failed = 1,
}

/** The parts of a node and the options of its start and stop. */
export interface RunNodeOptions {
  readonly identity: NodeIdentity;
  /** Performers; those of logs, metrics and the stop are added to them. */
  readonly performers: readonly Performer[];
  /** Plug-ins; those registered for the node's role by default. */
  readonly plugins?: readonly Plugin[];
  readonly logger: Logger;
  /** Metrics, shared with performers that count; new by default. */
  readonly metrics?: Metrics;
  /** Set to draining when a planned stop begins. */
  readonly readiness?: Readiness;
  /**
   * Time between the stop signal and the planned stop, in milliseconds; 0 by
   * default.
   */
  readonly drainDelayMs?: number;
  /** Maximum duration of a planned stop, in milliseconds; 10 s by default. */
  readonly stopTimeoutMs?: number;
  /** Returns the listening address, for the log line at the start. */
  readonly listening?: () => LogFields;
  /** Seed of the kernel's random numbers; a hash of the incarnation by default. */
  readonly seed?: number;
  /** The process; the current one by default. */
  readonly host?: ProcessHost;
}

/** A node that has started. */
export interface RunningNode {
  readonly kernel: Kernel;
  readonly loop: EventLoop;
  readonly metrics: Metrics;
}

/**
 * Runs a node in this process until a stop signal arrives: creates the
 * plug-ins of its role, starts the loop, and exits when a planned stop is
 * complete. If the start fails, it exits and returns undefined.
 *
 * @example
 * ```ts
 * await runNode({ identity, performers: [links, table], logger });
 * ```
 */
export async function runNode(
  options: RunNodeOptions,
): Promise<RunningNode | undefined> {
  const { identity, logger, metrics = new Metrics() } = options;
  const lifeCycle = new LifeCycle(options);
  const kernel = createKernel(options, (error) => {
    metrics.count("event-errors");
    lifeCycle.handleEventError(error);
  });
  const loop = new EventLoop({
    kernel,
    metrics,
    performers: [
      ...options.performers,
      new LogPerformer(logger),
      new MetricsPerformer(metrics),
      new StoppedPerformer(() => lifeCycle.finish()),
    ],
  });
  lifeCycle.watch(loop);
  try {
    await loop.start();
  } catch (error) {
    lifeCycle.fail(error);
    return undefined;
  }
  logger.info(`${identity.role} is ready`, options.listening?.() ?? {});
  return { kernel, loop, metrics };
}

function createKernel(
  { identity, plugins, seed }: RunNodeOptions,
  onError: (error: unknown) => void,
): Kernel {
  const kernel = new Kernel({
    onError,
    plugins: plugins ?? createPlugins(identity.role),
    seed: seed ?? hashText(identity.incarnation),
  });
  kernel.registerService(NODE_IDENTITY, identity);
  return kernel;
}

/** Handles stop signals, uncaught errors and the exit of the process. */
class LifeCycle {
  readonly #options: RunNodeOptions;
  readonly #host: ProcessHost;
  #loop: EventLoop | undefined;
  #undo: Undo = () => {};
  #isStopping = false;
  /** End of the time for the planned stop, in milliseconds. */
  #deadlineMs = 0;
  #hasExited = false;
  #errorsMs: number[] = [];
  #deadlineTimer: NodeJS.Timeout | undefined;
  #drainTimer: NodeJS.Timeout | undefined;

  constructor(options: RunNodeOptions) {
    this.#options = options;
    this.#host = options.host ?? new SystemProcessHost();
  }

  watch(loop: EventLoop): void {
    this.#loop = loop;
    this.#undo = mergeUndo(
      this.#host.onStopSignal((signal) => this.#handleStopSignal(signal)),
      this.#host.onUncaught((error) => this.fail(error)),
    );
  }

  /** Stops the loop and exits; called when the planned stop is complete. */
  async finish(): Promise<void> {
    this.#startDeadline();
    const drainMs = this.#deadlineMs - performance.now() - CLOSE_ALLOWANCE_MS;
    await this.#loop?.stop({ drainMs: Math.max(0, drainMs) });
    this.#exit(ExitCode.Stopped);
  }

  /** Goes on after an error of one event, and fails if there are too many. */
  handleEventError(error: unknown): void {
    const now = performance.now();
    this.#errorsMs = this.#errorsMs.filter((atMs) =>
      now - atMs < ERROR_WINDOW_MS
    );
    this.#errorsMs.push(now);
    if (this.#errorsMs.length > MAX_ERRORS) {
      this.fail(error);
    } else {
      this.#options.logger.error("Event failed", {
        error: describeError(error),
      });
    }
  }

  fail(error: unknown): void {
    this.#options.logger.error(describeError(error));
    this.#exit(ExitCode.Failed);
  }

  #handleStopSignal(signal: StopSignal): void {
    if (this.#isStopping) {
      // A supervisor may repeat its request; a person at a terminal insists.
      if (signal === StopSignal.Interrupt) {
        this.#exit(ExitCode.Failed);
      }
      return;
    }
    this.#isStopping = true;
    const { drainDelayMs = 0, logger, readiness } = this.#options;
    readiness?.drain();
    logger.info("Stopping", { drainDelayMs });
    this.#startDeadline(drainDelayMs);
    this.#drainTimer = setTimeout(
      () => this.#loop?.post(STOP_REQUESTED, {}),
      drainDelayMs,
    );
  }

  #startDeadline(extraMs = 0): void {
    const { stopTimeoutMs = DEFAULT_STOP_TIMEOUT_MS } = this.#options;
    if (this.#deadlineTimer !== undefined) {
      return;
    }
    this.#deadlineMs = performance.now() + stopTimeoutMs + extraMs;
    this.#deadlineTimer = setTimeout(() => {
      this.#options.logger.error("Stop timed out", { stopTimeoutMs });
      this.#exit(ExitCode.Failed);
    }, stopTimeoutMs + extraMs);
  }

  #exit(code: ExitCode): void {
    if (this.#hasExited) {
      return;
    }
    this.#hasExited = true;
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#drainTimer);
    this.#undo();
    this.#host.exit(code);
  }
}

/** Calls `finish` when the plug-ins have completed the planned stop. */
class StoppedPerformer extends Performer {
  override readonly kinds = [EffectKind.Stopped];
  readonly #finish: () => Promise<void>;

  constructor(finish: () => Promise<void>) {
    super();
    this.#finish = finish;
  }

  override perform(): void {
    // Deferred: effects of the same update are performed after this one.
    setImmediate(() => void this.#finish());
  }
}

function describeError(error: unknown): string {
  const text = error instanceof Error ? error.stack ?? error.message : error;
  return String(text).split("\n").map((line) => line.trim()).join(" ");
}

/** Returns the 32-bit FNV-1a hash of a text. */
function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (const char of text) {
    hash = Math.imul(hash ^ (char.codePointAt(0) ?? 0), 0x01000193);
  }
  return hash | 0;
}

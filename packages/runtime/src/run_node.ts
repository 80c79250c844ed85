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
import { type ProcessHost, SystemProcessHost } from "./process_host.ts";
import type { Readiness } from "./readiness.ts";

const DEFAULT_STOP_TIMEOUT_MS = 10_000;

/** How a node's process ends. */
export enum ExitCode {
  Stopped = 0,
  Failed = 1,
}

/** What a node is made of and how it starts and stops. */
export interface RunNodeOptions {
  readonly identity: NodeIdentity;
  /** All but those of logs, metrics and the stop, which are added. */
  readonly performers: readonly Performer[];
  /** Those registered for the node's role by default. */
  readonly plugins?: readonly Plugin[];
  readonly logger: Logger;
  /** Also given to performers that count; new by default. */
  readonly metrics?: Metrics;
  /** Told when a planned stop begins. */
  readonly readiness?: Readiness;
  /** Time between that and the stop, in milliseconds; 0 by default. */
  readonly drainDelayMs?: number;
  /** Longest time of a planned stop, in milliseconds; 10 s by default. */
  readonly stopTimeoutMs?: number;
  /** Where the node listens, for the line that it prints when it does. */
  readonly listening?: () => LogFields;
  /** Seed of the kernel's random numbers; from the incarnation by default. */
  readonly seed?: number;
  /** The process of the operating system by default. */
  readonly host?: ProcessHost;
}

/** A node that runs until its process is told to stop. */
export interface RunningNode {
  readonly kernel: Kernel;
  readonly loop: EventLoop;
  readonly metrics: Metrics;
}

/**
 * Runs a node in this process until it is told to stop: creates the plug-ins
 * of its role, starts the loop, and ends the process when a planned stop is
 * complete. Undefined when it could not start and the process ends.
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
  const kernel = createKernel(options);
  const lifeCycle = new LifeCycle(options);
  const loop = new EventLoop({
    kernel,
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

function createKernel({ identity, plugins, seed }: RunNodeOptions): Kernel {
  const kernel = new Kernel({
    plugins: plugins ?? createPlugins(identity.role),
    seed: seed ?? hashText(identity.incarnation),
  });
  kernel.registerService(NODE_IDENTITY, identity);
  return kernel;
}

/** Follows a process from its first signal to its exit. */
class LifeCycle {
  readonly #options: RunNodeOptions;
  readonly #host: ProcessHost;
  #loop: EventLoop | undefined;
  #undo: Undo = () => {};
  #stopping = false;
  #ended = false;
  #deadline: NodeJS.Timeout | undefined;
  #drain: NodeJS.Timeout | undefined;

  constructor(options: RunNodeOptions) {
    this.#options = options;
    this.#host = options.host ?? new SystemProcessHost();
  }

  watch(loop: EventLoop): void {
    this.#loop = loop;
    this.#undo = mergeUndo(
      this.#host.onStopSignal(() => this.#signalled()),
      this.#host.onUncaught((error) => this.fail(error)),
    );
  }

  /** The planned stop is complete. */
  async finish(): Promise<void> {
    this.#startDeadline();
    await this.#loop?.stop();
    this.#exit(ExitCode.Stopped);
  }

  fail(error: unknown): void {
    this.#options.logger.error(describeError(error));
    this.#exit(ExitCode.Failed);
  }

  #signalled(): void {
    if (this.#stopping) {
      this.#exit(ExitCode.Failed);
      return;
    }
    this.#stopping = true;
    const { drainDelayMs = 0, logger, readiness } = this.#options;
    readiness?.drain();
    logger.info("Stopping", { drainDelayMs });
    this.#startDeadline(drainDelayMs);
    this.#drain = setTimeout(
      () => this.#loop?.post(STOP_REQUESTED, {}),
      drainDelayMs,
    );
  }

  #startDeadline(extraMs = 0): void {
    const { stopTimeoutMs = DEFAULT_STOP_TIMEOUT_MS } = this.#options;
    this.#deadline ??= setTimeout(() => {
      this.#options.logger.error("Stop timed out", { stopTimeoutMs });
      this.#exit(ExitCode.Failed);
    }, stopTimeoutMs + extraMs);
  }

  #exit(code: ExitCode): void {
    if (this.#ended) {
      return;
    }
    this.#ended = true;
    clearTimeout(this.#deadline);
    clearTimeout(this.#drain);
    this.#undo();
    this.#host.exit(code);
  }
}

/** Ends the process when the planned stop is complete. */
class StoppedPerformer extends Performer {
  override readonly kinds = [EffectKind.Stopped];
  readonly #finish: () => Promise<void>;

  constructor(finish: () => Promise<void>) {
    super();
    this.#finish = finish;
  }

  override perform(): void {
    // Effects that were emitted with this one are still to be performed.
    setImmediate(() => void this.#finish());
  }
}

function describeError(error: unknown): string {
  const text = error instanceof Error ? error.stack ?? error.message : error;
  return String(text).split("\n").map((line) => line.trim()).join(" ");
}

/** FNV-1a, 32 bits. */
function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (const char of text) {
    hash = Math.imul(hash ^ (char.codePointAt(0) ?? 0), 0x01000193);
  }
  return hash | 0;
}

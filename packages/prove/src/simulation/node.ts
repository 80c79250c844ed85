import {
  type Command,
  createPlugins,
  type Effect,
  Kernel,
  type Random,
  Role,
} from "@mustardweir/kernel";
import { ADMISSION_SETTINGS } from "@mustardweir/admission";
import {
  NODE_IDENTITY,
  type NodeEffect,
  type NodeIdentity,
} from "@mustardweir/protocol";
import { LocalClock } from "./local_clock.ts";
import type { Tampering } from "./tampering.ts";
import type { VirtualClock } from "./virtual_clock.ts";

/** State of a simulated process. */
export enum ProcessState {
  Running = "running",
  /** Suspended as by SIGSTOP; continues where it was when resumed. */
  Paused = "paused",
  Dead = "dead",
}

/** Options of a simulated process. */
export interface SimulatedNodeOptions {
  readonly identity: NodeIdentity;
  readonly operatorKeyHash: string;
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly tampering: Tampering;
  readonly perform: (node: SimulatedNode, effect: NodeEffect) => void;
  /** Runs each event of the kernel, to measure it; only runs it by default. */
  readonly measure?: (event: KernelEvent, node: SimulatedNode) => EventEffects;
}

type EventEffects = readonly Effect[];

/** An event that the kernel of a simulated process is about to handle. */
export interface KernelEvent {
  /** Name of the command; `periodic` for periodic work. */
  readonly kind: string;
  /** Handles it; called once. */
  readonly run: () => EventEffects;
}

const PERIODIC_EVENT = "periodic";

/** One process of the system: a real kernel with its own local clock. */
export class SimulatedNode {
  readonly identity: NodeIdentity;
  /** Number of times that a timer woke the process. */
  wakeUps = 0;
  readonly kernel: Kernel;
  readonly localClock: LocalClock;
  readonly #options: SimulatedNodeOptions;
  readonly #inbox: (() => void)[] = [];
  #state = ProcessState.Running;
  #isStopping = false;
  #wakeAt = Infinity;

  constructor(options: SimulatedNodeOptions) {
    this.identity = options.identity;
    this.#options = options;
    this.localClock = new LocalClock(options.clock, options.random);
    this.kernel = new Kernel({
      plugins: createPlugins(options.identity.role),
      seed: options.random.below(0x4000_0000),
    });
    this.kernel.registerService(NODE_IDENTITY, options.identity);
    if (options.identity.role === Role.Entry) {
      const { operatorKeyHash } = options;
      this.kernel.registerService(ADMISSION_SETTINGS, { operatorKeyHash });
    }
    options.tampering.install(this);
    this.#wakeAfter(options.random.below(500));
  }

  get nodeId(): string {
    return this.identity.nodeId;
  }

  get state(): ProcessState {
    return this.#state;
  }

  get isStopping(): boolean {
    return this.#isStopping;
  }

  /** Handles an event now, or on resume while the process is paused. */
  post<Payload>(command: Command<Payload>, payload: Payload): void {
    this.#accept(() => {
      const transformed = this.#options.tampering.transformPayload(
        this,
        command,
        payload,
      );
      if (transformed !== undefined) {
        const now = this.localClock.now();
        this.#perform(
          this.#measure(
            command.name,
            () => this.kernel.run(command, transformed, now),
          ),
        );
      }
    });
  }

  pause(): void {
    if (this.#state === ProcessState.Running) {
      this.#state = ProcessState.Paused;
    }
  }

  resume(): void {
    if (this.#state !== ProcessState.Paused) {
      return;
    }
    this.#state = ProcessState.Running;
    for (const handle of this.#inbox.splice(0)) {
      this.#accept(handle);
    }
    this.#advance();
  }

  kill(): void {
    this.#state = ProcessState.Dead;
    this.#inbox.length = 0;
  }

  /** Records that a planned stop was requested. */
  markStopping(): void {
    this.#isStopping = true;
  }

  #accept(handle: () => void): void {
    if (this.#state === ProcessState.Paused) {
      this.#inbox.push(handle);
    } else if (this.#state === ProcessState.Running) {
      handle();
      this.#advance();
    }
  }

  #advance(): void {
    if (this.#state !== ProcessState.Running) {
      return;
    }
    this.#perform(
      this.#measure(
        PERIODIC_EVENT,
        () => this.kernel.advance(this.localClock.now()),
      ),
    );
    const now = this.localClock.now();
    const delay = this.kernel.nextDue(now) - now;
    this.#wakeAfter(this.localClock.toVirtualDuration(Math.max(delay, 1)));
  }

  #measure(kind: string, run: () => EventEffects): EventEffects {
    const { measure } = this.#options;
    return measure === undefined ? run() : measure({ kind, run }, this);
  }

  #wakeAfter(delayMs: number): void {
    const { clock } = this.#options;
    const at = clock.now + delayMs;
    if (at >= this.#wakeAt && this.#wakeAt > clock.now) {
      return;
    }
    this.#wakeAt = at;
    clock.after(delayMs, () => {
      if (this.#wakeAt === at) {
        this.#wakeAt = Infinity;
        this.wakeUps++;
        this.#accept(() => {});
      }
    });
  }

  #perform(effects: readonly Effect[]): void {
    for (const effect of effects as readonly NodeEffect[]) {
      const performed = this.#options.tampering.transformEffect(this, effect);
      for (const one of performed) {
        this.#options.perform(this, one);
      }
    }
  }
}

import "./plugins.ts";
import { type Command, createPlugins, Kernel, Role } from "@mustardweir/kernel";
import { homeUnit, OWNED } from "@mustardweir/membership";
import {
  addResources,
  type Configuration,
  instanceCapacity,
  jobSpecSchema,
  NO_RESOURCES,
  type Resources,
  sliceFleet,
} from "@mustardweir/model";
import {
  ALL_PEERS,
  type CountEffect,
  createEffectReply,
  EffectKind,
  HomeCallKind,
  type HomeReply,
  HomeReplyKind,
  NODE_IDENTITY,
  type NodeEffect,
  PEER_MESSAGE_RECEIVED,
  type PeerMessage,
  PeerMessageKind,
  type ReplyTo,
  StoreStatus,
  type SyncTargetEffect,
  type TaskSpec,
} from "@mustardweir/protocol";
import { type WorkerListener, WorkerState } from "@mustardweir/worker";
import { TimerQueue } from "./timer_queue.ts";
import { InstantStore } from "./instant_store.ts";
import { PolledWorker } from "./polled_worker.ts";

/** One-way latency of a message or call, in milliseconds. */
const LATENCY_MS = 0.5;

/** Id of the node that sends the calls. */
const CALLER = "e1";

/** How long a caller waits for the reply, in milliseconds. */
const CALL_TTL_MS = 60_000;

/** Options of a {@link Loopback}. */
export interface LoopbackOptions {
  readonly configuration: Configuration;
  readonly seed: number;
  /** Number of scheduler kernels; 1 by default. */
  readonly schedulers?: number;
  /** Called after each event with its processor time, in milliseconds. */
  readonly onEvent?: (cpuMs: number) => void;
}

/** A start of a task on a worker. */
export interface LoopbackStart {
  /** Virtual time, in milliseconds. */
  readonly at: number;
  readonly instanceId: string;
  readonly task: TaskSpec;
}

/** The body of a submission, without the defaults. */
export type JobRequest = Parameters<typeof jobSpecSchema.parse>[0] & object;

/** Runs real scheduler kernels and simulated workers in virtual time. */
export class Loopback {
  readonly queue = new TimerQueue();
  readonly store = new InstantStore();
  readonly kernels = new Map<string, Kernel>();
  readonly workers = new Map<string, PolledWorker>();
  readonly counters = new Map<string, number>();
  /** Every start of a task, in order. */
  readonly starts: LoopbackStart[] = [];
  readonly replies = new Map<string, HomeReply>();
  readonly #options: LoopbackOptions;
  #calls = 0;

  constructor(options: LoopbackOptions) {
    this.#options = options;
    this.store.configure(options.configuration);
    for (const slice of sliceFleet(options.configuration.inventory)) {
      for (const { spec } of slice.instances) {
        const capacity = instanceCapacity(spec);
        const state = new WorkerState({ capacity, incarnation: spec.id });
        state.registerListener(this.#createListener(spec.id));
        this.workers.set(spec.id, new PolledWorker(state, this.queue));
      }
    }
    for (let index = 1; index <= (options.schedulers ?? 1); index++) {
      this.#start(`s${index}`, index);
    }
  }

  get now(): number {
    return this.queue.now;
  }

  run(forMs: number): void {
    this.queue.runUntil(this.now + forMs);
  }

  counter(name: string): number {
    return this.counters.get(name) ?? 0;
  }

  /** Submits a job to the team's home; returns the id of the call. */
  submit(team: string, job: JobRequest): string {
    const spec = jobSpecSchema.parse(job);
    const callId = `c${++this.#calls}`;
    const idempotencyKey = callId;
    this.#callHome(team, callId, {
      kind: HomeCallKind.Submit,
      idempotencyKey,
      spec,
    });
    return callId;
  }

  /** Returns the id of the job that a call submitted, once it is accepted. */
  jobIdOf(callId: string): string | undefined {
    const reply = this.replies.get(callId)?.reply;
    return reply?.kind === HomeReplyKind.Status
      ? reply.status.jobId
      : undefined;
  }

  /** Returns the resources of each team's running tasks. */
  usage(): Map<string, Resources> {
    const usage = new Map<string, Resources>();
    for (const { state } of this.workers.values()) {
      for (const { task: { team, size } } of state.runningTasks()) {
        usage.set(team, addResources(usage.get(team) ?? NO_RESOURCES, size));
      }
    }
    return usage;
  }

  /** Replaces the configuration in the store. */
  configure(configuration: Configuration): void {
    this.store.configure(configuration);
  }

  cancel(team: string, jobId: string): void {
    const callId = `c${++this.#calls}`;
    this.#callHome(team, callId, { kind: HomeCallKind.Cancel, jobId });
  }

  /** Runs a command on a kernel and performs its effects. */
  post<Payload>(
    nodeId: string,
    command: Command<Payload>,
    payload: Payload,
  ): void {
    const kernel = this.kernels.get(nodeId);
    if (kernel === undefined) {
      return;
    }
    const before = performance.now();
    const effects = kernel.run(command, payload, this.now);
    this.#options.onEvent?.(performance.now() - before);
    this.#perform(nodeId, effects as readonly NodeEffect[]);
  }

  #createListener(instanceId: string): WorkerListener {
    return {
      taskStarted: ({ task }) =>
        this.starts.push({ at: this.now, instanceId, task }),
      taskEnded: () => {},
    };
  }

  #callHome(team: string, callId: string, call: never | object): void {
    const unit = homeUnit(team);
    for (const [nodeId, kernel] of this.kernels) {
      if (kernel.read(OWNED).units.has(unit)) {
        this.post(nodeId, PEER_MESSAGE_RECEIVED, {
          from: CALLER,
          message: {
            kind: PeerMessageKind.HomeCall,
            callId,
            team,
            keyId: "",
            ttlMs: CALL_TTL_MS,
            call,
          } as PeerMessage,
        });
      }
    }
  }

  #start(nodeId: string, index: number): void {
    const zones = this.#options.configuration.inventory.availabilityZones;
    const kernel = new Kernel({
      plugins: createPlugins(Role.Scheduler),
      seed: this.#options.seed + index,
    });
    kernel.registerService(NODE_IDENTITY, {
      nodeId,
      role: Role.Scheduler,
      incarnation: nodeId,
      availabilityZone: zones[index % zones.length]?.name ?? "",
      seedPeers: this.#seedPeers(),
    });
    this.kernels.set(nodeId, kernel);
    this.queue.after(index, () => this.#advance(nodeId));
  }

  #seedPeers() {
    const count = this.#options.schedulers ?? 1;
    return Array.from({ length: count }, (_, index) => ({
      nodeId: `s${index + 1}`,
      address: `s${index + 1}:1`,
    }));
  }

  #advance(nodeId: string): void {
    const kernel = this.kernels.get(nodeId)!;
    const before = performance.now();
    const effects = kernel.advance(this.now);
    if (effects.length > 0) {
      this.#options.onEvent?.(performance.now() - before);
    }
    this.#perform(nodeId, effects as readonly NodeEffect[]);
    const delayMs = Math.max(kernel.nextDue(this.now) - this.now, 1);
    this.queue.after(delayMs, () => this.#advance(nodeId));
  }

  #perform(nodeId: string, effects: readonly NodeEffect[]): void {
    for (const effect of effects) {
      this.#performOne(nodeId, effect);
    }
  }

  #performOne(nodeId: string, effect: NodeEffect): void {
    switch (effect.kind) {
      case EffectKind.SendPeer:
        this.#send(nodeId, effect.to, effect.message);
        break;
      case EffectKind.SyncTarget:
        this.#sync(nodeId, effect);
        break;
      case EffectKind.ScanTable:
        this.#reply(nodeId, effect.replyTo, this.store.scan(effect));
        break;
      case EffectKind.CommitTable:
        this.#reply(
          nodeId,
          effect.replyTo,
          this.store.commit(effect.transaction),
        );
        break;
      case EffectKind.GetObject:
        this.#reply(nodeId, effect.replyTo, this.store.getObject(effect.key));
        break;
      case EffectKind.ListInstances:
        this.#reply(nodeId, effect.replyTo, {
          status: StoreStatus.Ok,
          instances: [],
        });
        break;
      case EffectKind.Count:
        this.#count(effect);
        break;
      default:
        break;
    }
  }

  #sync(
    nodeId: string,
    { instanceId, call, replyTo }: SyncTargetEffect,
  ): void {
    this.queue.after(LATENCY_MS, () => {
      const worker = this.workers.get(instanceId);
      worker?.sync(call, (result) => this.#reply(nodeId, replyTo, result));
    });
  }

  #count({ counter, by }: CountEffect): void {
    this.counters.set(counter, this.counter(counter) + by);
  }

  #send(from: string, to: string, message: PeerMessage): void {
    if (message.kind === PeerMessageKind.HomeReply) {
      this.replies.set(message.callId, message);
      return;
    }
    const receivers = to === ALL_PEERS
      ? [...this.kernels.keys()].filter((nodeId) => nodeId !== from)
      : [to];
    for (const receiver of receivers) {
      this.queue.after(
        receiver === from ? 0 : LATENCY_MS,
        () => this.post(receiver, PEER_MESSAGE_RECEIVED, { from, message }),
      );
    }
  }

  #reply<Result>(
    nodeId: string,
    replyTo: ReplyTo<Result>,
    result: Result,
  ): void {
    this.queue.after(LATENCY_MS, () => {
      this.post(nodeId, replyTo.command, createEffectReply(replyTo, result));
    });
  }
}

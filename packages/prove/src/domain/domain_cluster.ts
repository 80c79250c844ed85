import { type Kernel, Random, Role, type StateKey } from "@mustardweir/kernel";
import {
  type DesiredState,
  NO_RESOURCES,
  plainStage,
  type Resources,
  type StagedJobSpec,
  type StageSpec,
  type WorkerInfo,
  WorkerState,
} from "@mustardweir/model";
import {
  type AskPermitsEffect,
  createEffectReply,
  EffectKind,
  FRONT_CALL_RECEIVED,
  type FrontAnswer,
  FrontCallKind,
  type LogChangeEffect,
  type NodeEffect,
  OrderKind,
  OrderOutcome,
  PEER_MESSAGE_RECEIVED,
  PermitResultKind,
  type ReplyTo,
  Source,
  type SourceResult,
  SourceResultKind,
  STOP_REQUESTED,
} from "@mustardweir/protocol";
import { LOCALITY, type WaitPolicyKind } from "@mustardweir/locality";
import { REPLICA } from "@mustardweir/replica";
import { RUN_TIMES } from "@mustardweir/run-times";
import { TENURE, TenurePhase } from "@mustardweir/tenure";
import {
  type KernelEvent,
  ProcessState,
  SimulatedNode,
} from "../simulation/node.ts";
import { Tampering } from "../simulation/tampering.ts";
import { VirtualClock } from "../simulation/virtual_clock.ts";
import { DomainStore } from "./domain_store.ts";
import {
  DomainWorker,
  type FencedOrder,
  type RunRecord,
  type TaskBehaviour,
} from "./domain_worker.ts";

const DEFAULT_NODES = 4;
const MAX_RECORD_BYTES = 65_536;
const DEFAULT_WORKERS = 6;
const CAPACITY: Resources = {
  ...NO_RESOURCES,
  cpuMillis: 4_000,
  memoryMb: 8_000,
};
const RESTART_DELAY_MS = 300;
/** Time after which a worker that a task has crashed is back, in ms. */
const WORKER_RETURN_MS = 3_300;
/** Time after which its registration ends if its id isn't used again, in ms. */
const REGISTRATION_MS = 7_300;
const DEFAULT_POLICY: PolicyTiming = { decideMs: 20, networkMs: 0 };
const PERMIT_VALID_MS = 2_000;

/** API key of the clients, and host and path of the main queue. */
export const CALLER = { key: "k1", host: "a.example", prefix: "/plans/" };
/** Path of the queue with the lower priority. */
export const NIGHTLY_PREFIX = "/nightly/";

/** A job and the answers that its clients got. */
export interface ClientRecord {
  readonly jobId: string;
  readonly spec: StagedJobSpec;
  /** Path of the queue to which it was submitted. */
  readonly prefix: string;
  /** API key with which it was submitted; that of the caller by default. */
  readonly key?: string;
  readonly answers: FrontAnswer[];
  cancelledMs: number | undefined;
}

/** Returns a stage of small tasks, changed by `options`. */
export function stageSpec(options: Partial<StageSpec> = {}): StageSpec {
  return plainStage({
    tasks: 3,
    size: { ...NO_RESOURCES, cpuMillis: 1_000, memoryMb: 500 },
    estimateMs: 500,
    ...options,
  });
}

/** Returns a payload that defines how simulated workers run its tasks. */
export function createTaskPayload(behaviour: TaskBehaviour): string {
  return JSON.stringify(behaviour);
}

/** How a worker that a task has crashed comes back. */
export enum WorkerReturn {
  /** Under its id, as a new incarnation. */
  SameId = "same-id",
  /** Under another id, at the same address. */
  OtherId = "other-id",
}

/** Jobs that are submitted at a constant rate. */
export interface SteadyLoad {
  readonly jobsPerS: number;
  readonly forMs: number;
  readonly spec: StagedJobSpec;
  /** Nodes that get the jobs; all by default. */
  readonly nodes?: readonly string[];
  /** Called before each submission. */
  readonly onSubmit?: (jobId: string) => void;
}

/** Returns the id of the job with a number. */
export function jobIdOf(index: number): string {
  return index.toString(16).padStart(16, "0");
}

/** Options of a simulated cluster of combined nodes. */
export interface DomainClusterOptions {
  readonly seed: number;
  readonly tampering?: Tampering;
  /** Whether the queues need permits; true by default. */
  readonly needsPermits?: boolean;
  /** Failures of a task after which its job fails; 3 by default. */
  readonly maxAttempts?: number;
  /** What the team may have running in all; unlimited by default. */
  readonly ceiling?: Resources;
  /** Number of nodes; 4 by default. */
  readonly nodes?: number;
  /** Number of workers; 6 by default. */
  readonly workers?: number;
  /** Bandwidth of each node's link in Mbit/s; unlimited by default. */
  readonly linkMbps?: number;
  /** Largest value of a record in bytes; 64 KiB by default. */
  readonly maxRecordBytes?: number;
  /** Remote factor in the nodes' settings; absent by default. */
  readonly remoteFactor?: number;
  /** Policy for waiting for a rack; the product's by default. */
  readonly waitPolicy?: WaitPolicyKind;
  /** Durations of permit queries; 20 ms and no time under way by default. */
  readonly policy?: PolicyTiming;
  /** The same for the queue with the lower priority; alike by default. */
  readonly nightlyPolicy?: PolicyTiming;
  /** Returns whether the policy allows a worker for a stage; all by default. */
  readonly allows?: (stage: string, workerId: string) => boolean;
  /** How crashed workers come back; under their id by default. */
  readonly workerReturn?: WorkerReturn;
  /** Time after which they are back in milliseconds; 3,300 by default. */
  readonly workerReturnMs?: number;
  /** Returns what differs between the nodes, by their index. */
  readonly profileOf?: (index: number) => NodeProfile;
  /** What operators request; one pool and two queues by default. */
  readonly desired?: DesiredState;
  /** The workers, instead of `workers` equal ones. */
  readonly workerInfos?: readonly WorkerInfo[];
  /** Decides permit queries, instead of `policy`, which allows all workers. */
  readonly judge?: (query: AskPermitsEffect) => PermitJudgement;
  /** Runs each event of a node, to measure it; only runs it by default. */
  readonly measure?: (
    event: KernelEvent,
    nodeId: string,
  ) => ReturnType<KernelEvent["run"]>;
  /** Called with each effect that a node requests. */
  readonly onEffect?: (effect: NodeEffect, nodeId: string) => void;
  /** Called with each line that a node logs. */
  readonly onLog?: (line: LogChangeEffect, nodeId: string) => void;
}

/** How a worker leaves, in milliseconds. */
export interface WorkerDeparture {
  /** Shortest time that it announces to remain; no notice by default. */
  readonly remainingMs?: number;
  /** Time after which it has ended and its registration is gone. */
  readonly leavesAfterMs: number;
}

/** Decision of the simulated placement policy on a query. */
export interface PermitJudgement {
  /** Time that the policy needs, in milliseconds. */
  readonly decideMs: number;
  /** The workers that it allows. */
  readonly allowed: readonly string[];
}

/** Durations of permit queries, in milliseconds. */
export interface PolicyTiming {
  /** Time that the policy needs for a query; it serves each node in turn. */
  readonly decideMs: number;
  /** Time that the query and its reply are under way, together. */
  readonly networkMs: number;
}

/** What a simulated node has and when it first starts. */
export interface NodeProfile {
  /** Processor cores; unlimited by default. */
  readonly cores?: number;
  /** Delay of its first start, in milliseconds; 0 by default. */
  readonly startDelayMs?: number;
}

/** How a process of a simulated node is started. */
export interface StartOptions {
  /** host:port for peers; the same for all processes of a node by default. */
  readonly peerAddress?: string;
  /**
   * Whether the node's earlier process runs on if it hasn't ended; false by
   * default.
   */
  readonly besideEarlier?: boolean;
}

/** Combined nodes, workers and the platform's store, in virtual time. */
export class DomainCluster {
  readonly clock = new VirtualClock();
  readonly store: DomainStore;
  readonly workers = new Map<string, DomainWorker>();
  readonly runs: RunRecord[] = [];
  readonly fencedOrders: FencedOrder[] = [];
  readonly clients = new Map<string, ClientRecord>();
  readonly #options: DomainClusterOptions;
  readonly #random: Random;
  readonly #nodes = new Map<string, SimulatedNode>();
  readonly #calls = new Map<string, (answer: FrontAnswer) => void>();
  /** Directed pairs of nodes whose messages are lost, as `from-to`. */
  readonly #downLinks = new Set<string>();
  /** When the policy has served the queries of each node, in milliseconds. */
  readonly #policyFreeMs = new Map<string, number>();
  /** Number of calls of each node that follow a source. */
  readonly #followCalls = new Map<string, number>();
  /** Number of commits that each node has sent. */
  readonly #commits = new Map<string, number>();
  /** Number of jobs' records that each node has read one by one. */
  readonly #recordReads = new Map<string, number>();
  /** Number of changes that each node has read from the store. */
  readonly #readChanges = new Map<string, number>();
  #lastCall = 0;
  #startCount = 0;

  constructor(options: DomainClusterOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
    this.store = new DomainStore(this.clock, this.#random);
    this.store.faults.maxRecordBytes = options.maxRecordBytes ??
      MAX_RECORD_BYTES;
    this.store.setDesired(options.desired ?? desiredState(options));
    const { workers = DEFAULT_WORKERS, nodes = DEFAULT_NODES, workerInfos } =
      options;
    workerInfos?.forEach((info) => this.#addWorkerOf(info));
    for (let index = 0; workerInfos === undefined && index < workers; index++) {
      this.#addWorker(`w${index}`, `zone-${index % 2}`);
    }
    for (let index = 0; index < nodes; index++) {
      const { startDelayMs = 0 } = options.profileOf?.(index) ?? {};
      if (startDelayMs === 0) {
        this.startNode(`n${index}`);
      } else {
        this.clock.after(startDelayMs, () => this.startNode(`n${index}`));
      }
    }
  }

  get nodeIds(): readonly string[] {
    return [...this.#nodes.keys()];
  }

  /** The first running node in the owner phase; undefined when none is. */
  get owner(): string | undefined {
    return this.nodeIds.find((id) => {
      const node = this.#nodes.get(id)!;
      return node.state === ProcessState.Running &&
        node.kernel.read(TENURE).phase === TenurePhase.Owner;
    });
  }

  /** The kernel of a node, for measurements of single updates. */
  kernelOf(nodeId: string): Kernel {
    return this.#nodes.get(nodeId)!.kernel;
  }

  /** The newest epoch that a running node has seen. */
  get epoch(): number {
    return Math.max(
      ...this.nodeIds.map((id) => this.#read(id, TENURE).epoch),
    );
  }

  /** The running nodes that keep a copy of all records. */
  get standbys(): readonly string[] {
    return this.nodeIds.filter((id) =>
      this.#nodes.get(id)!.state === ProcessState.Running &&
      this.#read(id, REPLICA).isStandby
    );
  }

  /** The nodes that keep no copy of the records, or don't run. */
  get followers(): readonly string[] {
    const { standbys } = this;
    return this.nodeIds.filter((id) => !standbys.includes(id));
  }

  /** The incarnation of a node's process; undefined unless it runs. */
  processOf(nodeId: string): string | undefined {
    const node = this.#nodes.get(nodeId);
    return node?.state === ProcessState.Running
      ? node.identity.incarnation
      : undefined;
  }

  /** Number of jobs in the copy of the records that a node keeps. */
  countCopiedJobs(nodeId: string): number {
    return this.#read(nodeId, REPLICA).jobs.size;
  }

  /** The mean run time factor that a node has learned; undefined without one. */
  runFactorOn(nodeId: string, queue: string): number | undefined {
    return this.#read(nodeId, RUN_TIMES).factorsOf(queue)?.mean;
  }

  /** The remote factor that a node goes by; undefined if it knows none. */
  remoteFactorOn(nodeId: string, queue: string): number | undefined {
    return this.#read(nodeId, LOCALITY).factorOf(queue);
  }

  /** Number of stages that wait for a rack on a node. */
  countRackWaits(nodeId: string): number {
    return this.#read(nodeId, LOCALITY).waits.open;
  }

  /** Number of calls with which a node followed the store. */
  countFollowCalls(nodeId: string): number {
    return this.#followCalls.get(nodeId) ?? 0;
  }

  /** Number of commits that a node has sent, jobs and its own record included. */
  countCommits(nodeId: string): number {
    return this.#commits.get(nodeId) ?? 0;
  }

  /** Number of jobs' records that a node has read one by one. */
  countRecordReads(nodeId: string): number {
    return this.#recordReads.get(nodeId) ?? 0;
  }

  /** Number of changes that a node has read from the store. */
  countReadChanges(nodeId: string): number {
    return this.#readChanges.get(nodeId) ?? 0;
  }

  /** Number of times that a timer woke a node since its start. */
  countWakeUps(nodeId: string): number {
    return this.#nodes.get(nodeId)!.wakeUps;
  }

  /**
   * Starts a process under a node's id. An earlier one that runs on is known to
   * the store, the workers and the links by its incarnation from then on, so
   * that faults can be set for each of the two.
   */
  startNode(
    nodeId: string,
    { peerAddress = `${nodeId}:1`, besideEarlier = false }: StartOptions = {},
  ): void {
    if (!besideEarlier) {
      this.#nodes.get(nodeId)?.kill();
    }
    const { linkMbps, profileOf, remoteFactor, waitPolicy, measure } =
      this.#options;
    const { cores } = profileOf?.(Number(nodeId.slice(1))) ?? {};
    this.#nodes.set(
      nodeId,
      new SimulatedNode({
        identity: {
          nodeId,
          role: Role.Combined,
          incarnation: `${nodeId}-${++this.#startCount}`,
          availabilityZone: "zone-0",
          peerAddress,
          seedPeers: [],
          ...(linkMbps === undefined ? {} : { linkMbps }),
          ...(cores === undefined ? {} : { cores }),
          ...(remoteFactor === undefined ? {} : { remoteFactor }),
          maxRecordBytes: this.store.faults.maxRecordBytes,
        },
        operatorKeyHash: "",
        clock: this.clock,
        random: this.#random,
        tampering: this.#options.tampering ?? new Tampering(),
        perform: (node, effect) => this.#perform(node, effect),
        ...(measure === undefined ? {} : {
          measure: (event, node) => measure(event, node.nodeId),
        }),
      }),
    );
    if (waitPolicy !== undefined) {
      this.#read(nodeId, LOCALITY).usePolicy(waitPolicy);
    }
  }

  /** Changes the capacity of a worker, which it registers at once. */
  setCapacity(workerId: string, cpuMillis: number): void {
    const worker = this.workers.get(workerId)!;
    worker.setCapacity(cpuMillis);
    this.store.setWorker(workerId, worker.info);
  }

  /** Registers a worker as draining; it leaves after `leavesAfterMs`. */
  announceDeparture(workerId: string, departure: WorkerDeparture): void {
    const worker = this.workers.get(workerId)!;
    const { remainingMs, leavesAfterMs } = departure;
    worker.setState(WorkerState.Draining, remainingMs);
    this.store.setWorker(workerId, worker.info);
    this.clock.after(leavesAfterMs, () => {
      if (worker.info.state === WorkerState.Draining) {
        const lost = this.runs.filter((run) =>
          run.workerId === workerId && run.endMs === undefined
        );
        worker.crash();
        lost.forEach((record) => this.#breakGangOf(record));
        this.store.setWorker(workerId, undefined);
      }
    });
  }

  /** Registers a worker that was to leave as ready; it stays. */
  withdrawDeparture(workerId: string): void {
    const worker = this.workers.get(workerId)!;
    worker.setState(WorkerState.Ready);
    this.store.setWorker(workerId, worker.info);
  }

  /** Kills a node and restarts it after `restartMs`. */
  kill(nodeId: string, restartMs: number = RESTART_DELAY_MS): void {
    this.#nodes.get(nodeId)?.kill();
    this.clock.after(restartMs, () => this.startNode(nodeId));
  }

  pause(nodeId: string, forMs: number): void {
    const node = this.#nodes.get(nodeId);
    node?.pause();
    this.clock.after(forMs, () => node?.resume());
  }

  stop(nodeId: string): void {
    const node = this.#nodes.get(nodeId);
    node?.markStopping();
    node?.post(STOP_REQUESTED, {});
  }

  /** Lets a worker reject the owner's next renewal though its token is new. */
  fenceOwner(workerId: string): void {
    const worker = this.workers.get(workerId)!;
    const order = worker.order.bind(worker);
    worker.order = (sent, from, options) => {
      const isFenced = sent.kind === OrderKind.Renew && from === this.owner &&
        worker.isUp;
      if (!isFenced) {
        order(sent, from, options);
        return;
      }
      worker.order = order;
      this.clock.after(
        1,
        () => options.answer({ outcome: OrderOutcome.Fenced, clockMs: 1 }),
      );
    };
  }

  setLinkDown(a: string, b: string, isDown: boolean): void {
    for (const pair of [`${a}-${b}`, `${b}-${a}`]) {
      if (isDown) {
        this.#downLinks.add(pair);
      } else {
        this.#downLinks.delete(pair);
      }
    }
  }

  /** Submits a job through a node. */
  submit(
    jobId: string,
    spec: StagedJobSpec,
    nodeId: string,
    prefix: string = CALLER.prefix,
    key: string = CALLER.key,
  ): void {
    const client = this.clients.get(jobId) ??
      { jobId, spec, prefix, key, answers: [], cancelledMs: undefined };
    this.clients.set(jobId, client);
    this.call(
      nodeId,
      FrontCallKind.Submit,
      jobId,
      (answer) => client.answers.push(answer),
    );
  }

  /** Submits jobs at a constant rate from now on, through the nodes in turn. */
  submitSteadily(
    { jobsPerS, forMs, spec, nodes = this.nodeIds, onSubmit }: SteadyLoad,
  ): void {
    const jobs = Math.floor(jobsPerS * forMs / 1_000);
    for (let index = 0; index < jobs; index++) {
      this.clock.after(index * 1_000 / jobsPerS, () => {
        const jobId = jobIdOf(index);
        onSubmit?.(jobId);
        this.submit(jobId, spec, nodes[index % nodes.length]!);
      });
    }
  }

  cancel(jobId: string, nodeId: string): void {
    this.call(nodeId, FrontCallKind.Cancel, jobId, () => {
      this.clients.get(jobId)!.cancelledMs ??= this.clock.now;
    });
  }

  /** Makes a call to a node; `answer` is called with the answer. */
  call(
    nodeId: string,
    kind: FrontCallKind,
    jobId: string,
    answer: (answer: FrontAnswer) => void,
  ): void {
    const callId = `${++this.#lastCall}`;
    this.#calls.set(callId, answer);
    const client = this.clients.get(jobId);
    const spec = client?.spec;
    this.#nodes.get(nodeId)?.post(FRONT_CALL_RECEIVED, {
      callId,
      kind,
      host: CALLER.host,
      path: (client?.prefix ?? CALLER.prefix) + jobId,
      key: client?.key ?? CALLER.key,
      ...(kind === FrontCallKind.Submit && spec !== undefined
        ? { body: { isReadable: true as const, spec } }
        : {}),
    });
  }

  #read<State>(nodeId: string, key: StateKey<State>): Readonly<State> {
    return this.#nodes.get(nodeId)!.kernel.read(key);
  }

  /** Brings a worker back that a task has crashed. */
  #returnWorker(worker: DomainWorker): void {
    const { id, zone, address } = worker.info;
    const { workerReturnMs = WORKER_RETURN_MS } = this.#options;
    if (this.#options.workerReturn === WorkerReturn.OtherId) {
      this.clock.after(workerReturnMs, () => {
        worker.faults.isReplaced = true;
        this.#addWorker(`${id}r`, zone, address);
      });
      this.clock.after(
        REGISTRATION_MS,
        () => this.store.setWorker(id, undefined),
      );
      return;
    }
    this.clock.after(workerReturnMs, () => {
      worker.restart();
      this.store.setWorker(id, worker.info);
    });
  }

  #addWorker(id: string, zone: string, address: string = `${id}:1`): void {
    const info: WorkerInfo = {
      id,
      incarnation: 1,
      pool: "ovens",
      address,
      zone,
      state: WorkerState.Ready,
      capacity: CAPACITY,
      labels: ["a", zone],
      rack: zone,
    };
    this.#addWorkerOf(info);
  }

  #addWorkerOf(info: WorkerInfo): void {
    this.workers.set(
      info.id,
      new DomainWorker({
        info,
        clock: this.clock,
        random: this.#random,
        runs: this.runs,
        fencedOrders: this.fencedOrders,
        behaviourOf: (task) => this.#behaviour(task),
        onFailed: (record) => this.#breakGangOf(record),
        onCrashed: (worker, record) => {
          this.#breakGangOf(record);
          this.#returnWorker(worker);
        },
      }),
    );
    this.store.setWorker(info.id, info);
  }

  #behaviour(task: string): TaskBehaviour {
    const [jobId, , stage, index] = task.split(".");
    const spec = this.clients.get(jobId!)?.spec;
    const behaviour = JSON.parse(spec?.payload ?? "{}") as TaskBehaviour;
    // Only the first member of a gang fails; it breaks the others.
    return spec?.stages[Number(stage)]?.gang === true && index !== "0"
      ? { ...behaviour, failures: 0 }
      : behaviour;
  }

  #breakGangOf({ task, attempt }: RunRecord): void {
    const [jobId, occurrence, stage] = task.split(".");
    if (this.clients.get(jobId!)?.spec.stages[Number(stage)]?.gang === true) {
      for (const worker of this.workers.values()) {
        worker.breakGang(`${jobId}.${occurrence}.${stage}.`, attempt);
      }
    }
  }

  /** The newest process of a node is known by the node's id. */
  #nameOf({ nodeId, identity }: SimulatedNode): string {
    return this.#nodes.get(nodeId)?.identity === identity
      ? nodeId
      : identity.incarnation;
  }

  #perform(node: SimulatedNode, effect: NodeEffect): void {
    const from = this.#nameOf(node);
    this.#options.onEffect?.(effect, from);
    switch (effect.kind) {
      case EffectKind.CommitRecords:
        this.#commits.set(from, this.countCommits(from) + 1);
        this.store.commit(effect, from, reply(node, effect.replyTo));
        break;
      case EffectKind.ReadSource:
        if (effect.only !== undefined && effect.source === Source.Records) {
          this.#recordReads.set(from, this.countRecordReads(from) + 1);
        }
        this.store.read(
          effect,
          from,
          this.#countingReply(node, effect.replyTo),
        );
        break;
      case EffectKind.FollowSource:
        this.#followCalls.set(from, (this.#followCalls.get(from) ?? 0) + 1);
        this.store.follow(
          effect,
          from,
          this.#countingReply(node, effect.replyTo),
        );
        break;
      case EffectKind.OrderWorker:
        this.workers.get(effect.workerId)?.order(effect.order, from, {
          timeoutMs: effect.timeoutMs,
          answer: reply(node, effect.replyTo),
        });
        break;
      case EffectKind.AskPermits: {
        const { allows, policy = DEFAULT_POLICY, nightlyPolicy = policy } =
          this.#options;
        const [jobId] = effect.stage.split(".");
        const isNightly = this.clients.get(jobId!)?.prefix === NIGHTLY_PREFIX;
        const timing = isNightly ? nightlyPolicy : policy;
        const { networkMs } = timing;
        const { decideMs, allowed } = this.#options.judge?.(effect) ?? {
          decideMs: timing.decideMs,
          allowed: effect.workers.filter((workerId) =>
            allows?.(effect.stage, workerId) ?? true
          ),
        };
        const decidedMs = decideMs +
          Math.max(this.clock.now, this.#policyFreeMs.get(from) ?? 0);
        this.#policyFreeMs.set(from, decidedMs);
        this.clock.after(
          decidedMs - this.clock.now + networkMs,
          () =>
            reply(node, effect.replyTo)({
              kind: PermitResultKind.Judged,
              permits: allowed.map((workerId) => ({
                workerId,
                permit: "p",
              })),
              validMs: PERMIT_VALID_MS,
            }),
        );
        break;
      }
      case EffectKind.SendPeer: {
        const peer = this.#nodes.get(effect.to);
        if (!this.#downLinks.has(`${from}-${effect.to}`)) {
          this.clock.after(1, () =>
            peer?.post(PEER_MESSAGE_RECEIVED, {
              from: node.nodeId,
              message: effect.message,
            }));
        }
        break;
      }
      case EffectKind.LogChange:
        this.#options.onLog?.(effect, from);
        break;
      case EffectKind.AnswerFront:
        if (node.state === ProcessState.Running) {
          this.#calls.get(effect.callId)?.(effect.answer);
          this.#calls.delete(effect.callId);
        }
        break;
      case EffectKind.Stopped:
        node.kill();
        if (from === node.nodeId) {
          this.clock.after(RESTART_DELAY_MS, () => this.startNode(from));
        }
        break;
      default:
        break;
    }
  }

  #countingReply(
    node: SimulatedNode,
    to: ReplyTo<SourceResult>,
  ): (result: SourceResult) => void {
    const answer = reply(node, to);
    return (result) => {
      const changes = result.kind === SourceResultKind.Read
        ? result.changes.length
        : 0;
      this.#readChanges.set(
        node.nodeId,
        this.countReadChanges(node.nodeId) + changes,
      );
      answer(result);
    };
  }
}

function reply<Result>(
  node: SimulatedNode,
  to: ReplyTo<Result>,
): (result: Result) => void {
  return (result) => node.post(to.command, createEffectReply(to, result));
}

function desiredState(
  {
    needsPermits = true,
    maxAttempts = 3,
    ceiling = NO_RESOURCES,
    policy = DEFAULT_POLICY,
    nightlyPolicy = policy,
  }: DomainClusterOptions,
): DesiredState {
  const queueOf = ({ decideMs }: PolicyTiming) => ({
    host: CALLER.host,
    pool: "ovens",
    maxAttempts,
    latencyObjectiveMs: 250,
    stretch: 1.5,
    isPublic: false,
    ...(needsPermits
      ? {
        permits: {
          decideMs,
          perWorkerMs: 0,
          validMs: PERMIT_VALID_MS,
        },
      }
      : {}),
  });
  return {
    version: 1,
    queues: [
      {
        ...queueOf(policy),
        name: "plans",
        pathPrefix: CALLER.prefix,
        priority: 0,
      },
      {
        ...queueOf(nightlyPolicy),
        name: "nightly",
        pathPrefix: NIGHTLY_PREFIX,
        priority: 2,
      },
    ],
    pools: [{ name: "ovens", guardsCapacity: false, isSpare: false }],
    teams: [{
      name: "storefront",
      keys: [CALLER.key],
      share: 1,
      jobsPerS: 0,
      ceiling,
    }],
  };
}

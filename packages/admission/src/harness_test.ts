import { createHash } from "node:crypto";
import {
  CONFIGURATION,
  EDIT_CONFIGURATION,
  type EditRequest,
} from "@mustardweir/configuration";
import {
  type Command,
  CommandPriority,
  Kernel,
  Role,
} from "@mustardweir/kernel";
import {
  homeUnit,
  OWNERSHIP,
  PEER_CLAIMS,
  PEERS,
  recordHeartbeat,
} from "@mustardweir/membership";
import {
  type Configuration,
  EMPTY_CONFIGURATION,
  inventorySchema,
  JobState,
  type JobStatus,
  KeyRole,
  rulesSchema,
} from "@mustardweir/model";
import {
  CALLER_DISCONNECTED,
  CALLER_REQUESTED,
  type CallerAnswer,
  CallerAnswerKind,
  type CallerCall,
  EffectKind,
  type Heartbeat,
  type HomeCall,
  type HomeReplyBody,
  type LogChangeEffect,
  NODE_IDENTITY,
  type NodeEffect,
  PEER_MESSAGE_RECEIVED,
  PeerMessageKind,
  STOP_REQUESTED,
} from "@mustardweir/protocol";
import {
  ADMISSION,
  ADMISSION_SETTINGS,
  AdmissionPlugin,
  KeyRing,
  summarizeInventory,
} from "./mod.ts";

/** Returns the hash of a key, as the front end computes it. */
export function hashOf(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

export const CONFIG: Configuration = {
  ...EMPTY_CONFIGURATION,
  version: 1,
  inventory: inventorySchema.parse({
    availabilityZones: [{
      name: "tx-a",
      region: "tx",
      racks: [{
        name: "r1",
        instances: [1, 2].map((n) => ({
          id: `i${n}`,
          address: "http://127.0.0.1:1",
          cpu: 64,
          memoryMb: 262_144,
        })),
      }],
    }],
  }),
  rules: rulesSchema.parse({
    teams: [
      { name: "storefront", share: 3, ceiling: { cpu: 100 } },
      { name: "imaging", share: 1 },
      { name: "closed", share: 1, maySubmit: false },
    ],
  }),
  keys: [
    {
      id: "s1",
      hash: hashOf("s1"),
      role: KeyRole.Submitter,
      team: "storefront",
    },
    { id: "c1", hash: hashOf("c1"), role: KeyRole.Submitter, team: "closed" },
    { id: "v1", hash: hashOf("v1"), role: KeyRole.Viewer },
    { id: "o1", hash: hashOf("o1"), role: KeyRole.Operator },
    {
      id: "old",
      hash: hashOf("old"),
      role: KeyRole.Operator,
      expiresAtMs: 1_000,
    },
  ],
};

export const STATUS: JobStatus = {
  jobId: "storefront.1",
  team: "storefront",
  state: JobState.Waiting,
  tasksTotal: 1,
  tasksRunning: 0,
  tasksEnded: 0,
};

/**
 * Runs the admission plug-in of an entry node without a network: the test
 * advances the clock, sets owners, and supplies requests and replies.
 */
export class TestHarness {
  readonly kernel = new Kernel({ plugins: [new AdmissionPlugin()] });
  readonly sent: { readonly to: string; readonly call: HomeCall }[] = [];
  readonly answers: string[] = [];
  readonly edits: EditRequest[] = [];
  readonly logs: LogChangeEffect[] = [];
  now = 0;
  lastAnswer: CallerAnswer | undefined;
  isStopped = false;
  #requests = 0;

  constructor(options: { pendingLimit?: number } = {}) {
    const { kernel } = this;
    kernel.registerService(ADMISSION_SETTINGS, {
      operatorKeyHash: hashOf("boot"),
      ...options,
    });
    kernel.registerService(NODE_IDENTITY, {
      nodeId: "e1",
      role: Role.Entry,
      incarnation: "i1",
      availabilityZone: "tx-a",
      seedPeers: [],
    });
    kernel.registerState(CONFIGURATION, { current: CONFIG, confirmedAt: 0 });
    kernel.registerState(PEERS, { views: new Map() });
    kernel.registerState(PEER_CLAIMS, {
      epochs: new Map(),
      claimants: new Map(),
    });
    kernel.registerState(OWNERSHIP, {
      rows: new Map(),
      revision: 0,
      scannedAt: 0,
    });
    kernel.registerCommand(
      EDIT_CONFIGURATION,
      (edit) => void this.edits.push(edit),
      CommandPriority.Normal,
    );
    const keys = new KeyRing({
      keys: CONFIG.keys,
      operatorKeyHash: hashOf("boot"),
    });
    kernel.update(0, (update) => {
      const state = update.write(ADMISSION);
      state.keys = keys;
      state.fleet = summarizeInventory(CONFIG.inventory);
    });
  }

  run<Payload>(command: Command<Payload>, payload: Payload): void {
    this.perform(this.kernel.run(command, payload, this.now) as NodeEffect[]);
  }

  advance(ms: number): void {
    for (let passed = 0; passed < ms; passed += 100) {
      this.now += 100;
      this.confirm();
      this.perform(this.kernel.advance(this.now) as NodeEffect[]);
    }
  }

  confirm(at = this.now): void {
    this.kernel.update(this.now, (update) => {
      update.write(CONFIGURATION).confirmedAt = at;
    });
  }

  setOwner(nodeId: string, epoch: number, team = "storefront"): void {
    this.kernel.update(this.now, (update) => {
      update.write(OWNERSHIP).rows.set(homeUnit(team), {
        row: { owner: nodeId, epoch, successors: [] },
        version: epoch,
      });
    });
  }

  receiveHeartbeat(
    heartbeat: Partial<Heartbeat> & { readonly nodeId: string },
  ): void {
    this.kernel.update(this.now, (update) => {
      recordHeartbeat(update, {
        kind: PeerMessageKind.Heartbeat,
        incarnation: "i1",
        availabilityZone: "tx-a",
        configurationVersion: 1,
        stopping: false,
        owned: [],
        superseded: [],
        slices: [],
        usage: [],
        ...heartbeat,
      });
    });
  }

  request(key: string, call: CallerCall, ttlMs = 10_000): string {
    const requestId = `r${++this.#requests}`;
    this.run(CALLER_REQUESTED, {
      requestId,
      keyHash: hashOf(key),
      wallMs: 2_000,
      ttlMs,
      call,
    });
    return requestId;
  }

  disconnectCaller(requestId: string): void {
    this.run(CALLER_DISCONNECTED, { requestId });
  }

  stop(): void {
    this.run(STOP_REQUESTED, {});
  }

  /** Delivers a reply to the sent call with the given index. */
  reply(index: number, reply: HomeReplyBody, from?: string): void {
    const { to, call } = this.sent[index]!;
    this.run(PEER_MESSAGE_RECEIVED, {
      from: from ?? to,
      message: { kind: PeerMessageKind.HomeReply, callId: call.callId, reply },
    });
  }

  get targets(): string[] {
    return this.sent.map(({ to }) => to);
  }

  perform(effects: readonly NodeEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === EffectKind.SendPeer) {
        const call = effect.message as HomeCall;
        this.sent.push({ to: effect.to, call });
      } else if (effect.kind === EffectKind.AnswerCaller) {
        this.lastAnswer = effect.answer;
        this.answers.push(describeAnswer(effect.answer));
      } else if (effect.kind === EffectKind.LogChange) {
        this.logs.push(effect);
      } else if (effect.kind === EffectKind.Stopped) {
        this.isStopped = true;
      }
    }
  }
}

function describeAnswer(answer: CallerAnswer): string {
  return answer.kind === CallerAnswerKind.Refused
    ? `${answer.refusal.reason} ${answer.refusal.outcome}`
    : answer.kind;
}

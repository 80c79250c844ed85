import {
  type Command,
  CommandPriority,
  createCommand,
  Kernel,
  Role,
} from "@mustardweir/kernel";
import { ConfigurationSection } from "@mustardweir/model";
import {
  type CommitTableEffect,
  createEffectReply,
  EffectKind,
  type EffectReply,
  type GetObjectEffect,
  NODE_IDENTITY,
  type NodeEffect,
  type PutObjectEffect,
  replyTo,
  type ScanTableEffect,
  StoreStatus,
} from "@mustardweir/protocol";
import {
  CONFIGURATION,
  CONFIGURATION_ROW,
  ConfigurationEditorPlugin,
  ConfigurationPlugin,
  EDIT_CONFIGURATION,
  type EditResult,
  sectionObjectKey,
} from "./mod.ts";

const EDITED = createCommand<EffectReply<string, EditResult>>("test-edited");
/** A valid body of the rules. */
export const RULES = { teams: [{ name: "imaging", share: 1 }] };
/** Time after which edits in the tests expire, in milliseconds. */
export const TTL_MS = 10_000;

/** Runs the plug-ins on a simulated table row and simulated objects. */
export class TestHarness {
  readonly kernel: Kernel;
  readonly objects = new Map<string, string>();
  readonly held: NodeEffect[] = [];
  readonly results: EditResult[] = [];
  row = "";
  rowVersion = 0;
  revision = 0;
  now = 0;
  /** Kinds of effect that are collected in `held` instead of answered. */
  hold = new Set<EffectKind>();

  constructor() {
    this.kernel = new Kernel({
      plugins: [new ConfigurationPlugin(), new ConfigurationEditorPlugin()],
    });
    this.kernel.registerService(NODE_IDENTITY, {
      nodeId: "e1",
      role: Role.Entry,
      incarnation: "i1",
      availabilityZone: "a",
      seedPeers: [],
    });
    this.kernel.registerCommand(EDITED, ({ result }) => {
      this.results.push(result);
    }, CommandPriority.Normal);
  }

  advance(ms: number): void {
    for (let passed = 0; passed < ms; passed += 50) {
      this.now += 50;
      this.perform(this.kernel.advance(this.now) as NodeEffect[]);
    }
  }

  perform(effects: readonly NodeEffect[]): void {
    for (const effect of effects) {
      if (this.hold.has(effect.kind)) {
        this.held.push(effect);
      } else {
        this.answer(effect);
      }
    }
  }

  answer(effect: NodeEffect, result = this.outcome(effect)): void {
    if ("replyTo" in effect) {
      const payload = createEffectReply(
        effect.replyTo as never,
        result as never,
      );
      const command = effect.replyTo.command as Command<unknown>;
      this.perform(
        this.kernel.run(command, payload, this.now) as NodeEffect[],
      );
    }
  }

  outcome(effect: NodeEffect): unknown {
    switch (effect.kind) {
      case EffectKind.ScanTable:
        return this.scan(effect);
      case EffectKind.GetObject:
        return this.get(effect);
      case EffectKind.PutObject:
        return this.put(effect);
      case EffectKind.CommitTable:
        return this.commit(effect);
      default:
        return undefined;
    }
  }

  edit(body: unknown, ifMatch: number, section = ConfigurationSection.Rules) {
    const request = {
      section,
      body,
      ifMatch,
      ttlMs: TTL_MS,
      wallMs: 1_000,
      replyTo: replyTo(EDITED, "edit"),
    };
    this.perform(
      this.kernel.run(EDIT_CONFIGURATION, request, this.now) as NodeEffect[],
    );
  }

  /** Simulates an edit that another entry node accepts. */
  editAtOtherEntry(version: number): void {
    const body = JSON.stringify(RULES);
    const key = sectionObjectKey(body);
    this.objects.set(key, body);
    this.row = JSON.stringify({
      version,
      sections: { rules: key },
      nonces: [`e2/${version}`, `e2/${version - 1}`],
    });
    this.rowVersion += 1;
    this.revision += 1;
  }

  takeHeld<Kind extends NodeEffect>(kind: EffectKind): Kind {
    const index = this.held.findIndex((effect) => effect.kind === kind);
    return this.held.splice(index, 1)[0] as Kind;
  }

  get state() {
    return this.kernel.read(CONFIGURATION);
  }

  private scan(effect: ScanTableEffect) {
    const isNew = this.row !== "" && this.revision > effect.afterRevision;
    const rows = isNew
      ? [{
        key: CONFIGURATION_ROW,
        value: this.row,
        version: this.rowVersion,
      }]
      : [];
    const page = { rows, deleted: [], revision: this.revision };
    return { status: StoreStatus.Ok, page };
  }

  private get(effect: GetObjectEffect) {
    const body = this.objects.get(effect.key);
    return body === undefined
      ? { status: StoreStatus.NotFound }
      : { status: StoreStatus.Ok, body };
  }

  private put(effect: PutObjectEffect) {
    this.objects.set(effect.key, effect.body);
    return { status: StoreStatus.Ok };
  }

  private commit(effect: CommitTableEffect) {
    if (effect.transaction.checks[0]?.version !== this.rowVersion) {
      return { status: StoreStatus.Conflict };
    }
    this.row = effect.transaction.puts[0]?.value ?? "";
    this.rowVersion += 1;
    this.revision += 1;
    return { status: StoreStatus.Ok, revision: this.revision };
  }
}

/** A test case of the follower or the editor. */
export interface HarnessCase {
  readonly name: string;
  readonly act: (harness: TestHarness) => void;
  readonly version?: number;
  readonly confirmed?: boolean;
  /** Per edit: its new version, or the reason and outcome of its refusal. */
  readonly results?: readonly (number | string)[];
}

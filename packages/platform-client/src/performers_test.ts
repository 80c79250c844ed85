import { type Command, createCommand } from "@mustardweir/kernel";
import {
  type CommitResult,
  EffectKind,
  type EffectReply,
  type GetObjectResult,
  type ListInstancesResult,
  type NodeEffect,
  type PutObjectResult,
  replyTo,
  type ScanResult,
  StoreStatus,
  type Transaction,
} from "@mustardweir/protocol";
import type { EventSink, Performer } from "@mustardweir/runtime";
import { expect } from "chai";
import {
  InstanceList,
  InstanceListPerformer,
  ObjectPerformer,
  ObjectStore,
  type ScanOptions,
  TablePerformer,
  TableStore,
} from "./mod.ts";

const { Ok, Unavailable, Unknown } = StoreStatus;
const ANSWERED = createCommand<EffectReply<string, never>>("answered");
const REPLY = replyTo(ANSWERED, "context");
const TRANSACTION: Transaction = { checks: [], puts: [], deletes: ["a", "b"] };

/** Returns results that contain the arguments of the call. */
class FakeTable extends TableStore {
  override scan(options: ScanOptions): Promise<ScanResult> {
    const { prefix = "", afterRevision = 0 } = options;
    const page = { rows: [], deleted: [prefix], revision: afterRevision };
    return Promise.resolve({ status: Ok, page });
  }

  override commit({ deletes }: Transaction): Promise<CommitResult> {
    return Promise.resolve({ status: Ok, revision: deletes.length });
  }
}

class FakeObjects extends ObjectStore {
  override get(key: string): Promise<GetObjectResult> {
    return Promise.resolve({ status: Ok, body: key });
  }

  override put(key: string, body: string): Promise<PutObjectResult> {
    const isExpected = key === "k" && body === "b";
    return Promise.resolve({ status: isExpected ? Ok : Unknown });
  }
}

class FakeInstances extends InstanceList {
  override list(): Promise<ListInstancesResult> {
    return Promise.resolve({ status: Unavailable });
  }
}

const table = new TablePerformer(new FakeTable());
const objects = new ObjectPerformer(new FakeObjects());
const instances = new InstanceListPerformer(new FakeInstances());

interface PerformerCase {
  readonly performer: Performer;
  readonly effect: NodeEffect;
  readonly result: unknown;
}

const PERFORMER_CASES: readonly PerformerCase[] = [
  {
    performer: table,
    effect: {
      kind: EffectKind.ScanTable,
      prefix: "a/",
      afterRevision: 3,
      replyTo: REPLY,
    },
    result: {
      status: Ok,
      page: { rows: [], deleted: ["a/"], revision: 3 },
    },
  },
  {
    performer: table,
    effect: {
      kind: EffectKind.CommitTable,
      transaction: TRANSACTION,
      replyTo: REPLY,
    },
    result: { status: Ok, revision: 2 },
  },
  {
    performer: objects,
    effect: { kind: EffectKind.GetObject, key: "k", replyTo: REPLY },
    result: { status: Ok, body: "k" },
  },
  {
    performer: objects,
    effect: { kind: EffectKind.PutObject, key: "k", body: "b", replyTo: REPLY },
    result: { status: Ok },
  },
  {
    performer: instances,
    effect: { kind: EffectKind.ListInstances, replyTo: REPLY },
    result: { status: Unavailable },
  },
];

class RecordingSink implements EventSink {
  readonly posted: unknown[] = [];

  post<Payload>(command: Command<Payload>, payload: Payload): void {
    this.posted.push({ command, payload });
  }
}

describe("performers of the platform", () => {
  for (const { performer, effect, result } of PERFORMER_CASES) {
    it(`posts the result of ${effect.kind} asynchronously`, async () => {
      const sink = new RecordingSink();
      performer.perform(effect, sink);
      expect(sink.posted).to.deep.equal([]);
      await new Promise(setImmediate);
      const payload = { context: "context", result };
      expect(sink.posted).to.deep.equal([{ command: ANSWERED, payload }]);
      expect(performer.kinds).to.include(effect.kind);
    });
  }

  for (const performer of [table, objects, instances]) {
    it(`rejects effects other than ${performer.kinds}`, () => {
      const effect: NodeEffect = { kind: EffectKind.Stopped };
      expect(() => performer.perform(effect, new RecordingSink())).to.throw(
        "effect stopped was passed to the wrong performer",
      );
    });
  }
});

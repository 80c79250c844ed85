/** Performers that carry out effects on the platform and post the results. */
import { invariant } from "@mustardweir/kernel";
import {
  type CommitTableEffect,
  EffectKind,
  type GetObjectEffect,
  type ListInstancesEffect,
  type NodeEffect,
  type PutObjectEffect,
  type ScanTableEffect,
} from "@mustardweir/protocol";
import { type EventSink, Performer, postReply } from "@mustardweir/runtime";
import { PlatformConnection } from "./connection.ts";
import { HttpInstanceList, type InstanceList } from "./instance_list.ts";
import { HttpObjectStore, type ObjectStore } from "./object_store.ts";
import { HttpTableStore, type TableStore } from "./table_store.ts";

/**
 * Scans and commits to the table.
 *
 * @example
 * ```ts
 * const performers = [new TablePerformer(new HttpTableStore(connection))];
 * const loop = new EventLoop({ kernel, performers });
 * ```
 */
export class TablePerformer extends Performer {
  override readonly kinds = [EffectKind.ScanTable, EffectKind.CommitTable];
  readonly #store: TableStore;

  constructor(store: TableStore) {
    super();
    this.#store = store;
  }

  override perform(effect: NodeEffect, sink: EventSink): void {
    switch (effect.kind) {
      case EffectKind.ScanTable:
        return void this.#scan(effect, sink);
      case EffectKind.CommitTable:
        return void this.#commit(effect, sink);
      default:
        rejectEffect(effect);
    }
  }

  override close(): Promise<void> {
    return this.#store.close();
  }

  async #scan(effect: ScanTableEffect, sink: EventSink): Promise<void> {
    const { prefix, afterRevision, replyTo } = effect;
    const result = await this.#store.scan({ prefix, afterRevision });
    postReply(sink, replyTo, result);
  }

  async #commit(effect: CommitTableEffect, sink: EventSink): Promise<void> {
    const result = await this.#store.commit(effect.transaction);
    postReply(sink, effect.replyTo, result);
  }
}

/**
 * Reads and writes objects.
 *
 * @example
 * ```ts
 * const performer = new ObjectPerformer(new HttpObjectStore(connection));
 * ```
 */
export class ObjectPerformer extends Performer {
  override readonly kinds = [EffectKind.GetObject, EffectKind.PutObject];
  readonly #store: ObjectStore;

  constructor(store: ObjectStore) {
    super();
    this.#store = store;
  }

  override perform(effect: NodeEffect, sink: EventSink): void {
    switch (effect.kind) {
      case EffectKind.GetObject:
        return void this.#get(effect, sink);
      case EffectKind.PutObject:
        return void this.#put(effect, sink);
      default:
        rejectEffect(effect);
    }
  }

  override close(): Promise<void> {
    return this.#store.close();
  }

  async #get(effect: GetObjectEffect, sink: EventSink): Promise<void> {
    const result = await this.#store.get(effect.key);
    postReply(sink, effect.replyTo, result);
  }

  async #put(effect: PutObjectEffect, sink: EventSink): Promise<void> {
    const result = await this.#store.put(effect.key, effect.body);
    postReply(sink, effect.replyTo, result);
  }
}

/**
 * Reads the list of instances.
 *
 * @example
 * ```ts
 * const list = new HttpInstanceList(connection);
 * const performer = new InstanceListPerformer(list);
 * ```
 */
export class InstanceListPerformer extends Performer {
  override readonly kinds = [EffectKind.ListInstances];
  readonly #list: InstanceList;

  constructor(list: InstanceList) {
    super();
    this.#list = list;
  }

  override perform(effect: NodeEffect, sink: EventSink): void {
    if (effect.kind !== EffectKind.ListInstances) {
      rejectEffect(effect);
    }
    void this.#read(effect, sink);
  }

  override close(): Promise<void> {
    return this.#list.close();
  }

  async #read(effect: ListInstancesEffect, sink: EventSink): Promise<void> {
    postReply(sink, effect.replyTo, await this.#list.list());
  }
}

function rejectEffect(effect: NodeEffect): never {
  invariant(false, `effect ${effect.kind} was passed to the wrong performer`);
}

/**
 * Creates the performers of all platform services, sharing one connection.
 *
 * @example
 * ```ts
 * const performers = createPlatformPerformers("http://127.0.0.1:7070");
 * ```
 */
export function createPlatformPerformers(baseUrl: string): Performer[] {
  const connection = new PlatformConnection({ baseUrl });
  return [
    new TablePerformer(new HttpTableStore(connection)),
    new ObjectPerformer(new HttpObjectStore(connection)),
    new InstanceListPerformer(new HttpInstanceList(connection)),
  ];
}

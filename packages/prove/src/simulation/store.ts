import type { Random } from "@mustardweir/kernel";
import { LaggingList, TransactionalTable } from "@mustardweir/platform-stub";
import {
  type CommitResult,
  type GetObjectResult,
  type ListedInstance,
  type ListInstancesResult,
  type PutObjectResult,
  type ScanResult,
  StoreStatus,
  type Transaction,
} from "@mustardweir/protocol";
import type { VirtualClock } from "./virtual_clock.ts";

/** Time after which a call without a reply fails, in milliseconds. */
const CALL_TIMEOUT_MS = 2_000;

/** Time by which the list of instances lags behind, in milliseconds. */
const LIST_LAG_MS = 1_000;

/** One-way latency, in milliseconds. */
const MIN_LATENCY_MS = 1;
const LATENCY_SPREAD_MS = 3;

/** Faults of the table and the object store. */
export interface StoreFaults {
  /** Maximum extra one-way latency, in milliseconds. */
  readonly slowMs: number;
  /** Whether every call is refused before it takes effect. */
  readonly down: boolean;
  /** Fraction of the writes whose reply is lost. */
  readonly repliesLost: number;
  /** Fraction of the writes that get no reply and take effect late. */
  readonly lateWrites: number;
}

/** No faults: every call takes effect once and gets a reply. */
export const NO_STORE_FAULTS: StoreFaults = {
  slowMs: 0,
  down: false,
  repliesLost: 0,
  lateWrites: 0,
};

/** Clock, random source and callbacks of a store. */
export interface StoreOptions {
  readonly clock: VirtualClock;
  readonly random: Random;
  /** Returns whether the calls of a node don't reach the store. */
  readonly isCutOff: (nodeId: string) => boolean;
  /** Called after each transaction that took effect. */
  readonly onCommit: (transaction: Transaction) => void;
}

type Respond<Result> = (result: Result) => void;

/** The platform's table, object store and instance list, with faults. */
export class SimulatedStore {
  faults = NO_STORE_FAULTS;
  readonly table = new TransactionalTable();
  readonly objects = new Map<string, string>();
  readonly #list = new LaggingList<ListedInstance>({ lagMs: LIST_LAG_MS });
  readonly #options: StoreOptions;

  constructor(options: StoreOptions) {
    this.#options = options;
  }

  /** Applies a transaction immediately, without faults. */
  apply(transaction: Transaction): CommitResult {
    return this.table.commit(transaction).match<CommitResult>(
      ({ revision }) => {
        this.#options.onCommit(transaction);
        return { status: StoreStatus.Ok, revision };
      },
      () => ({ status: StoreStatus.Conflict }),
    );
  }

  commit(
    transaction: Transaction,
    from: string,
    respond: Respond<CommitResult>,
  ): void {
    this.#write(() => this.apply(transaction), from, respond);
  }

  putObject(
    { key, body }: { readonly key: string; readonly body: string },
    from: string,
    respond: Respond<PutObjectResult>,
  ): void {
    this.#write<PutObjectResult>(
      () => {
        this.objects.set(key, body);
        return { status: StoreStatus.Ok };
      },
      from,
      respond,
    );
  }

  scan(
    request: { readonly prefix: string; readonly afterRevision: number },
    from: string,
    respond: Respond<ScanResult>,
  ): void {
    this.#read<ScanResult>(
      () => {
        return { status: StoreStatus.Ok, page: this.table.scan(request) };
      },
      from,
      respond,
    );
  }

  getObject(
    key: string,
    from: string,
    respond: Respond<GetObjectResult>,
  ): void {
    this.#read<GetObjectResult>(
      () => {
        const body = this.objects.get(key);
        return body === undefined
          ? { status: StoreStatus.NotFound }
          : { status: StoreStatus.Ok, body };
      },
      from,
      respond,
    );
  }

  listInstances(
    from: string,
    respond: Respond<ListInstancesResult>,
  ): void {
    this.#read<ListInstancesResult>(
      () => ({
        status: StoreStatus.Ok,
        instances: this.#list.read(this.#options.clock.now),
      }),
      from,
      respond,
    );
  }

  /** Adds an instance to the list, which shows it after its lag. */
  putInstance(instance: ListedInstance): void {
    const { now } = this.#options.clock;
    this.#list.put(instance.nodeId, { item: instance, now });
  }

  #write<Result>(
    operation: () => Result,
    from: string,
    respond: Respond<Result | { readonly status: StoreStatus.Unknown }>,
  ): void {
    const { random, clock, isCutOff } = this.#options;
    const isUnreachable = isCutOff(from);
    const isLate = !isUnreachable && random.fraction() < this.faults.lateWrites;
    const isReplyLost = random.fraction() < this.faults.repliesLost;
    if (isLate && !this.faults.down) {
      clock.after(CALL_TIMEOUT_MS * (0.5 + random.fraction()), operation);
    }
    this.#call(operation, {
      respond,
      isUnreachable: isUnreachable || isLate,
      isReplyLost,
    });
  }

  #read<Result>(
    operation: () => Result,
    from: string,
    respond: Respond<Result | { readonly status: StoreStatus.Unknown }>,
  ): void {
    const isUnreachable = this.#options.isCutOff(from);
    this.#call(operation, { respond, isUnreachable, isReplyLost: false });
  }

  #call<Result>(operation: () => Result, options: CallOptions<Result>): void {
    const { clock } = this.#options;
    let isOver = false;
    const finish = (result: Result | FailedResult) => {
      if (!isOver) {
        isOver = true;
        options.respond(result as Result);
      }
    };
    clock.after(
      CALL_TIMEOUT_MS,
      () => finish({ status: StoreStatus.Unknown }),
    );
    if (options.isUnreachable) {
      return;
    }
    clock.after(this.#latency(), () => {
      if (this.faults.down) {
        finish({ status: StoreStatus.Unavailable });
        return;
      }
      const result = operation();
      if (!options.isReplyLost) {
        clock.after(this.#latency(), () => finish(result));
      }
    });
  }

  #latency(): number {
    const { random } = this.#options;
    const base = MIN_LATENCY_MS + random.fraction() * LATENCY_SPREAD_MS;
    return base + random.fraction() * this.faults.slowMs;
  }
}

interface FailedResult {
  readonly status: StoreStatus.Unknown | StoreStatus.Unavailable;
}

interface CallOptions<Result> {
  readonly respond: Respond<Result>;
  /** Whether the call gets no reply and does not take effect in time. */
  readonly isUnreachable: boolean;
  /** Whether the call takes effect but its reply is lost. */
  readonly isReplyLost: boolean;
}

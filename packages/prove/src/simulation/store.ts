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

/** A call without an answer is given up after this, in milliseconds. */
const CALL_TIMEOUT_MS = 2_000;

/** How far the list of instances is behind, in milliseconds. */
const LIST_LAG_MS = 1_000;

/** Time one way, in milliseconds. */
const MIN_LATENCY_MS = 1;
const LATENCY_SPREAD_MS = 3;

/** Faults of the table and the object store. */
export interface StoreFaults {
  /** Largest extra time one way, in milliseconds. */
  readonly slowMs: number;
  /** Every call is refused before it takes effect. */
  readonly down: boolean;
  /** Fraction of the writes whose answer is lost. */
  readonly answersLost: number;
  /** Fraction of the writes that take effect after they are given up. */
  readonly lateWrites: number;
}

/** Every call takes effect once and is answered. */
export const NO_STORE_FAULTS: StoreFaults = {
  slowMs: 0,
  down: false,
  answersLost: 0,
  lateWrites: 0,
};

/** The time and chance of a store, and who is told of its commits. */
export interface StoreOptions {
  readonly clock: VirtualClock;
  readonly random: Random;
  /** True while calls of a node don't come through. */
  readonly isCutOff: (nodeId: string) => boolean;
  /** Told of each transaction that took effect. */
  readonly onCommit: (transaction: Transaction) => void;
}

type Respond<Result> = (result: Result) => void;

/** The platform's table, objects and list, with faults. */
export class SimulatedStore {
  faults = NO_STORE_FAULTS;
  readonly table = new TransactionalTable();
  readonly objects = new Map<string, string>();
  readonly #list = new LaggingList<ListedInstance>({ lagMs: LIST_LAG_MS });
  readonly #options: StoreOptions;

  constructor(options: StoreOptions) {
    this.#options = options;
  }

  /** Carries out a transaction at once, without faults. */
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

  /** Puts an instance on the list, which shows it after its lag. */
  putInstance(instance: ListedInstance): void {
    const { now } = this.#options.clock;
    this.#list.put(instance.nodeId, { item: instance, now });
  }

  #write<Result>(
    act: () => Result,
    from: string,
    respond: Respond<Result | { readonly status: StoreStatus.Unknown }>,
  ): void {
    const { random, clock, isCutOff } = this.#options;
    const isSilent = isCutOff(from);
    const isLate = !isSilent && random.fraction() < this.faults.lateWrites;
    const isLost = random.fraction() < this.faults.answersLost;
    if (isLate && !this.faults.down) {
      clock.after(CALL_TIMEOUT_MS * (0.5 + random.fraction()), act);
    }
    this.#call(act, { respond, isSilent: isSilent || isLate, isLost });
  }

  #read<Result>(
    act: () => Result,
    from: string,
    respond: Respond<Result | { readonly status: StoreStatus.Unknown }>,
  ): void {
    const isSilent = this.#options.isCutOff(from);
    this.#call(act, { respond, isSilent, isLost: false });
  }

  #call<Result>(act: () => Result, options: CallOptions<Result>): void {
    const { clock } = this.#options;
    let isOver = false;
    const finish = (result: Result | Failed) => {
      if (!isOver) {
        isOver = true;
        options.respond(result as Result);
      }
    };
    clock.after(
      CALL_TIMEOUT_MS,
      () => finish({ status: StoreStatus.Unknown }),
    );
    if (options.isSilent) {
      return;
    }
    clock.after(this.#latency(), () => {
      if (this.faults.down) {
        finish({ status: StoreStatus.Unavailable });
        return;
      }
      const result = act();
      if (!options.isLost) {
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

interface Failed {
  readonly status: StoreStatus.Unknown | StoreStatus.Unavailable;
}

interface CallOptions<Result> {
  readonly respond: Respond<Result>;
  /** The call neither takes effect now nor is answered. */
  readonly isSilent: boolean;
  /** The answer is lost. */
  readonly isLost: boolean;
}

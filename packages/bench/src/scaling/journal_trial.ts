import { Kernel } from "@mustardweir/kernel";
import {
  APPEND_JOURNAL,
  JournalPlugin,
  type JournalRecord,
  OPEN_JOURNAL,
} from "@mustardweir/journal";
import { SCHEDULERS } from "@mustardweir/membership";
import {
  createEffectReply,
  EffectKind,
  type NodeEffect,
  StoreStatus,
  type Transaction,
} from "@mustardweir/protocol";
import { TimerQueue } from "../loopback/timer_queue.ts";

/** The rate of records, and the latency of the table. */
export interface JournalTrialOptions {
  readonly homes: number;
  /** Number of schedulers in the fleet, which share the table's write rate. */
  readonly schedulers: number;
  /** Latency of a write, in milliseconds. */
  readonly writeMs: number;
  readonly forMs: number;
  /** Mean number of records per millisecond. */
  readonly recordsPerMs: number;
  readonly createRecord: (index: number) => JournalRecord;
}

/** Number of writes, rows and bytes that the journal needed. */
export interface JournalTrialResult {
  readonly writes: number;
  readonly rows: number;
  readonly bytes: number;
  readonly largestRow: number;
}

/** Appends records to the journal of one scheduler at a constant rate. */
export function runJournalTrial(
  options: JournalTrialOptions,
): JournalTrialResult {
  return new JournalTrial(options).run();
}

class JournalTrial {
  readonly #options: JournalTrialOptions;
  readonly #queue = new TimerQueue();
  readonly #kernel = new Kernel({ plugins: [new JournalPlugin()] });
  readonly #result = { writes: 0, rows: 0, bytes: 0, largestRow: 0 };
  #offered = 0;

  constructor(options: JournalTrialOptions) {
    this.#options = options;
  }

  run(): JournalTrialResult {
    const { homes, forMs, schedulers } = this.#options;
    this.#kernel.registerState(SCHEDULERS, {
      isListed: true,
      isMember: true,
      peers: Array.from({ length: schedulers - 1 }, (_, index) => ({
        nodeId: `s${index}`,
        address: "",
      })),
      leaving: new Set<string>(),
    });
    for (let home = 0; home < homes; home++) {
      this.#perform(this.#kernel.run(OPEN_JOURNAL, {
        team: `team-${home}`,
        epoch: 1,
        ownershipVersion: 1,
      }, 0));
    }
    for (let now = 1; now <= forMs; now++) {
      this.#queue.runUntil(now);
      this.#perform(this.#kernel.advance(now));
      this.#offer(now);
    }
    return this.#result;
  }

  #offer(now: number): void {
    const { homes, recordsPerMs, createRecord } = this.#options;
    while (this.#offered < now * recordsPerMs) {
      const index = this.#offered++;
      this.#perform(this.#kernel.run(APPEND_JOURNAL, {
        team: `team-${index % homes}`,
        records: [createRecord(index)],
      }, now));
    }
  }

  #perform(effects: readonly unknown[]): void {
    for (const effect of effects as readonly NodeEffect[]) {
      if (effect.kind === EffectKind.ScanTable) {
        const page = { rows: [], deleted: [], revision: 1 };
        const result = { status: StoreStatus.Ok, page } as const;
        this.#reply(
          effect.replyTo.command,
          createEffectReply(effect.replyTo, result),
        );
      } else if (effect.kind === EffectKind.CommitTable) {
        this.#count(effect.transaction);
        const result = { status: StoreStatus.Ok, revision: 1 } as const;
        this.#reply(
          effect.replyTo.command,
          createEffectReply(effect.replyTo, result),
        );
      }
    }
  }

  #reply(command: Parameters<Kernel["run"]>[0], payload: unknown): void {
    this.#queue.after(this.#options.writeMs, () => {
      const effects = this.#kernel.run(command, payload, this.#queue.now);
      this.#perform(effects);
    });
  }

  #count({ puts }: Transaction): void {
    this.#result.writes += 1;
    this.#result.rows += puts.length;
    for (const { value } of puts) {
      const bytes = Buffer.byteLength(value);
      this.#result.bytes += bytes;
      this.#result.largestRow = Math.max(this.#result.largestRow, bytes);
    }
  }
}

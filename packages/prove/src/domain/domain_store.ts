import type { Random } from "@mustardweir/kernel";
import type { DesiredState, WorkerInfo } from "@mustardweir/model";
import {
  ChangeKind,
  type CommitRecordsEffect,
  type FollowSourceEffect,
  type ReadSourceEffect,
  RecordCommitKind,
  type RecordCommitResult,
  type RecordTransaction,
  Source,
  type SourceChange,
  type SourceResult,
  SourceResultKind,
  type StoredRecord,
} from "@mustardweir/protocol";
import { DOMAIN_PART, sourceOfKey } from "@mustardweir/replica";
import type { VirtualClock } from "../simulation/virtual_clock.ts";

const PAGE_RECORDS = 40;
/** Time of day minus the store's clock, in milliseconds. */
const UNIX_OFFSET_MS = 1_700_000_000_000;
/** A part with more than this to do refuses transactions, in milliseconds. */
const MAX_PART_WAIT_MS = 1_000;
/** Result of a commit without a reply, after the caller's timeout. */
const UNKNOWN: RecordCommitResult = { kind: RecordCommitKind.Unknown };

/** The current faults of the store. */
export interface DomainStoreFaults {
  /** Nodes whose calls are refused without taking effect. */
  readonly refused: Set<string>;
  /** Nodes whose calls are lost. */
  readonly silent: Set<string>;
  /** Nodes that neither commit to the part of the domain nor read records. */
  readonly cutFromDomain: Set<string>;
  /** Nodes that get no reply about the registrations of workers. */
  readonly cutFromWorkers: Set<string>;
  /** Fraction of the commits that take effect but get no reply. */
  lostShare: number;
  /** Nodes whose commits all take effect but get no reply. */
  readonly losesRepliesTo: Set<string>;
  /** Extra delay of commits without a reply, in milliseconds. */
  lateMs: number;
  /** Duration of a call, in milliseconds. */
  callMs: number;
  /** Largest value of a record, in bytes. */
  maxRecordBytes: number;
  /** Keys of records that the store never takes. */
  readonly rejectedKeys: Set<string>;
  /** Fraction of the reads and follows that fail. */
  failedReadShare: number;
  /** Fraction of the reads and follows that get no reply. */
  lostReadShare: number;
  /** Error of the time of day on a node, in milliseconds; 0 if absent. */
  readonly clockErrorsMs: Map<string, number>;
}

interface HistoryEntry {
  readonly source: Source;
  readonly change: SourceChange;
  readonly version: number;
}

/** The simulated store: records, worker registrations and operator input. */
export class DomainStore {
  readonly faults: DomainStoreFaults = {
    refused: new Set(),
    silent: new Set(),
    cutFromDomain: new Set(),
    cutFromWorkers: new Set(),
    maxRecordBytes: Infinity,
    rejectedKeys: new Set(),
    lostShare: 0,
    losesRepliesTo: new Set(),
    lateMs: 0,
    callMs: 4,
    failedReadShare: 0,
    lostReadShare: 0,
    clockErrorsMs: new Map(),
  };
  /** Number of calls so far, those that are refused or lost included. */
  calls = 0;
  /** Number of transactions that break a limit. */
  rejected = 0;
  readonly #clock: VirtualClock;
  readonly #random: Random;
  readonly #records = new Map<string, StoredRecord>();
  readonly #workers = new Map<string, WorkerInfo>();
  readonly #drained = new Set<string>();
  #desired: DesiredState | undefined;
  #version = 0;
  /** The history has all changes after this version. */
  #compactedVersion = 0;
  #history: HistoryEntry[] = [];
  readonly #watchers = new Set<() => void>();
  /** When the transactions of each part are done, in milliseconds. */
  readonly #partFreeMs = new Map<string, number>();

  constructor(clock: VirtualClock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  /** The true time of day, in Unix milliseconds. */
  get unixMs(): number {
    return UNIX_OFFSET_MS + this.#clock.now;
  }

  /** The current records, for oracles. */
  get records(): ReadonlyMap<string, StoredRecord> {
    return this.#records;
  }

  setDesired(desired: DesiredState): void {
    this.#desired = desired;
    this.#publish(Source.Operator, {
      kind: ChangeKind.DesiredState,
      desired,
    });
  }

  setDrained(zone: string, isDrained: boolean): void {
    if (isDrained) {
      this.#drained.add(zone);
    } else {
      this.#drained.delete(zone);
    }
    this.#publish(Source.Operator, {
      kind: ChangeKind.ZoneDrain,
      zone,
      isDrained,
    });
  }

  setWorker(id: string, worker: WorkerInfo | undefined): void {
    if (worker === undefined) {
      this.#workers.delete(id);
    } else {
      this.#workers.set(id, worker);
    }
    this.#publish(Source.Workers, {
      kind: ChangeKind.Worker,
      id,
      ...(worker === undefined ? {} : { worker }),
    });
  }

  /** Writes a record as another version of the system might. */
  put(part: string, key: string, value: string): void {
    this.#apply({ expected: [], puts: [{ part, key, value }], removes: [] });
  }

  /** Removes a record as another version of the system might. */
  remove(part: string, key: string): void {
    this.#apply({ expected: [], puts: [], removes: [{ part, key }] });
  }

  /** Drops the history; later reads from older versions must list again. */
  compactHistory(): void {
    this.#history = [];
    this.#compactedVersion = this.#version;
  }

  commit(
    { transaction, timeoutMs }: CommitRecordsEffect,
    node: string,
    answer: (result: RecordCommitResult) => void,
  ): void {
    const { faults } = this;
    this.calls++;
    const isLostCommit = faults.cutFromDomain.has(node) &&
      transaction.puts.some(({ part }) => part === DOMAIN_PART);
    if (faults.silent.has(node) || isLostCommit) {
      this.#clock.after(timeoutMs, () => answer(UNKNOWN));
      return;
    }
    if (faults.refused.has(node)) {
      this.#clock.after(2, () => answer({ kind: RecordCommitKind.Refused }));
      return;
    }
    if (this.#breaksLimit(transaction)) {
      this.rejected++;
      this.#clock.after(2, () => answer({ kind: RecordCommitKind.Rejected }));
      return;
    }
    const waitMs = this.#reservePart(transaction);
    if (waitMs > MAX_PART_WAIT_MS) {
      this.#clock.after(2, () => answer({ kind: RecordCommitKind.Refused }));
      return;
    }
    const isLost = this.#random.fraction() < faults.lostShare ||
      faults.losesRepliesTo.has(node);
    const callMs = waitMs + faults.callMs;
    const delayMs = callMs + (isLost ? faults.lateMs : 0);
    this.#clock.after(delayMs, () => {
      const result = this.#apply(transaction);
      if (!isLost && callMs <= timeoutMs) {
        answer(result);
      }
    });
    if (isLost || callMs > timeoutMs) {
      this.#clock.after(timeoutMs, () => answer(UNKNOWN));
    }
  }

  #breaksLimit({ puts }: RecordTransaction): boolean {
    const { maxRecordBytes, rejectedKeys } = this.faults;
    return puts.some(({ key, value }) =>
      rejectedKeys.has(key) || Buffer.byteLength(value) > maxRecordBytes
    );
  }

  /**
   * Returns how long a transaction waits for those before it in its part, and
   * reserves its own time there if the part takes it.
   */
  #reservePart({ puts, removes }: RecordTransaction): number {
    const part = (puts[0] ?? removes[0])?.part ?? "";
    const freeMs = Math.max(this.#clock.now, this.#partFreeMs.get(part) ?? 0);
    const waitMs = freeMs - this.#clock.now;
    if (waitMs <= MAX_PART_WAIT_MS) {
      this.#partFreeMs.set(part, freeMs + this.faults.callMs);
    }
    return waitMs;
  }

  read(
    { source, part, after, only, timeoutMs }: ReadSourceEffect,
    node: string,
    answer: (result: SourceResult) => void,
  ): void {
    this.calls++;
    if (source === Source.Workers && this.faults.cutFromWorkers.has(node)) {
      this.#timeOut(timeoutMs, answer);
      return;
    }
    this.#respond(node, timeoutMs, answer, () => {
      if (source !== Source.Records && source !== Source.Fleet) {
        return this.#result(node, this.#listOthers(source));
      }
      const all = [...this.#records.values()]
        .filter((record) =>
          record.part === part && sourceOfKey(record.key) === source
        )
        .filter(({ key }) =>
          only === undefined ? after === undefined || key > after : key === only
        )
        .sort((a, b) => a.key < b.key ? -1 : 1);
      const page = all.slice(0, PAGE_RECORDS);
      return {
        ...this.#result(
          node,
          page.map((record) => ({ kind: ChangeKind.Record, record })),
        ),
        ...(all.length > page.length ? { nextAfter: page.at(-1)!.key } : {}),
      };
    });
  }

  follow(
    { source, afterVersion, waitMs, timeoutMs }: FollowSourceEffect,
    node: string,
    answer: (result: SourceResult) => void,
  ): void {
    this.calls++;
    const { cutFromDomain, cutFromWorkers } = this.faults;
    if (
      (source === Source.Records && cutFromDomain.has(node)) ||
      (source === Source.Workers && cutFromWorkers.has(node))
    ) {
      this.#timeOut(timeoutMs, answer);
      return;
    }
    const newer = () =>
      this.#history.filter((entry) =>
        entry.source === source && entry.version > afterVersion
      );
    let isOver = false;
    const finish = () => {
      if (!isOver) {
        isOver = true;
        this.#watchers.delete(notify);
        if (
          source === Source.Workers && this.faults.cutFromWorkers.has(node)
        ) {
          this.#timeOut(timeoutMs - waitMs, answer);
          return;
        }
        this.#respond(
          node,
          timeoutMs,
          answer,
          // The history may have been dropped since the call.
          () =>
            afterVersion < this.#compactedVersion
              ? { kind: SourceResultKind.HistoryLost }
              : this.#result(node, newer().map(({ change }) => change)),
        );
      }
    };
    const notify = () => {
      if (afterVersion < this.#compactedVersion || newer().length > 0) {
        finish();
      }
    };
    this.#watchers.add(notify);
    this.#clock.after(waitMs, finish);
    notify();
  }

  #timeOut(timeoutMs: number, answer: (result: SourceResult) => void): void {
    this.#clock.after(
      timeoutMs,
      () => answer({ kind: SourceResultKind.Unavailable, reason: "fault" }),
    );
  }

  #respond(
    node: string,
    timeoutMs: number,
    answer: (result: SourceResult) => void,
    read: () => SourceResult,
  ): void {
    const { refused, silent, callMs, failedReadShare, lostReadShare } =
      this.faults;
    const isTimedOut = silent.has(node) || callMs > timeoutMs ||
      (lostReadShare > 0 && this.#random.fraction() < lostReadShare);
    const isFailed = refused.has(node) ||
      (failedReadShare > 0 && this.#random.fraction() < failedReadShare);
    if (isTimedOut || isFailed) {
      this.#clock.after(
        isTimedOut ? timeoutMs : 2,
        () => answer({ kind: SourceResultKind.Unavailable, reason: "fault" }),
      );
      return;
    }
    this.#clock.after(callMs, () => answer(read()));
  }

  #apply(
    { expected, puts, removes }: RecordTransaction,
  ): RecordCommitResult {
    const isUnchanged = expected.every(({ part, key, version }) =>
      (this.#records.get(recordId(part, key))?.version ?? 0) === version
    );
    if (!isUnchanged) {
      return {
        kind: RecordCommitKind.Conflict,
        records: expected.flatMap(({ part, key }) =>
          this.#records.get(recordId(part, key)) ?? []
        ),
      };
    }
    const version = ++this.#version;
    for (const { part, key, value } of puts) {
      const record = { part, key, value, version };
      this.#records.set(recordId(part, key), record);
      this.#appendChange(sourceOfKey(key), { kind: ChangeKind.Record, record });
    }
    for (const { part, key } of removes) {
      this.#records.delete(recordId(part, key));
      const record = { part, key, version };
      this.#appendChange(sourceOfKey(key), { kind: ChangeKind.Record, record });
    }
    this.#wakeWatchers();
    return {
      kind: RecordCommitKind.Committed,
      version,
      clockMs: this.#clock.now,
    };
  }

  #publish(source: Source, change: SourceChange): void {
    this.#version++;
    this.#appendChange(source, change);
    this.#wakeWatchers();
  }

  #appendChange(source: Source, change: SourceChange): void {
    this.#history.push({ source, change, version: this.#version });
  }

  #wakeWatchers(): void {
    for (const notify of [...this.#watchers]) {
      notify();
    }
  }

  #listOthers(source: Source): SourceChange[] {
    if (source === Source.Workers) {
      return [...this.#workers].map(([id, worker]) => ({
        kind: ChangeKind.Worker,
        id,
        worker,
      }));
    }
    const desired = this.#desired;
    return [
      ...(desired === undefined
        ? []
        : [{ kind: ChangeKind.DesiredState, desired } as const]),
      ...[...this.#drained].map((zone) => ({
        kind: ChangeKind.ZoneDrain as const,
        zone,
        isDrained: true,
      })),
    ];
  }

  #result(
    node: string,
    changes: SourceChange[],
  ): Extract<SourceResult, { kind: SourceResultKind.Read }> {
    return {
      kind: SourceResultKind.Read,
      changes,
      version: this.#version,
      clockMs: this.#clock.now,
      unixMs: this.unixMs + (this.faults.clockErrorsMs.get(node) ?? 0),
    };
  }
}

function recordId(part: string, key: string): string {
  return `${part}\n${key}`;
}

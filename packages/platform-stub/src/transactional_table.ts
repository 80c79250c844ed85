import { err, ok, type Result } from "neverthrow";

/** A row; its version is the number of times its key has been put. */
export interface Row {
  readonly key: string;
  readonly value: string;
  readonly version: number;
}

/** An atomic transaction. */
export interface TableTransaction {
  /** Required versions; version 0 requires that the row does not exist. */
  readonly checks: readonly {
    readonly key: string;
    readonly version: number;
  }[];
  readonly puts: readonly { readonly key: string; readonly value: string }[];
  readonly deletes: readonly string[];
}

/** The result of a transaction that was applied. */
export interface Committed {
  readonly revision: number;
}

/** The keys whose checks failed; the transaction was not applied. */
export interface CommitConflict {
  readonly conflicts: readonly string[];
}

/** The rows to read. */
export interface RowScan {
  readonly prefix: string;
  /** Only later changes are returned; 0 for a full scan. */
  readonly afterRevision: number;
}

/** The result of a scan, and the revision of the table that it read. */
export interface ScannedRows {
  /** Sorted by key. */
  readonly rows: readonly Row[];
  readonly deleted: readonly string[];
  readonly revision: number;
}

/** The latest state of a key; a deleted key keeps its version. */
interface KeyState {
  readonly key: string;
  /** Undefined when the row is deleted. */
  readonly value: string | undefined;
  readonly version: number;
  /** Revision of the table at the key's last change. */
  readonly revision: number;
}

/**
 * An in-memory transactional table that does no I/O and reads no clock.
 *
 * @example
 * ```ts
 * const table = new TransactionalTable();
 * const puts = [{ key: "owner/a", value: "s1" }];
 * const checks = [{ key: "owner/a", version: 0 }];
 * table.commit({ checks, puts, deletes: [] }); // Ok({ revision: 1 })
 * ```
 */
export class TransactionalTable {
  readonly #keyStates = new Map<string, KeyState>();
  #revision = 0;

  /**
   * Applies the transaction if all its checks hold: the puts in their order,
   * then the deletes.
   */
  commit(transaction: TableTransaction): Result<Committed, CommitConflict> {
    const conflicts = transaction.checks
      .filter(({ key, version }) => this.#currentVersion(key) !== version)
      .map(({ key }) => key);
    if (conflicts.length > 0) {
      return err({ conflicts });
    }
    this.#apply(transaction);
    return ok({ revision: this.#revision });
  }

  /** Reads the rows under a prefix, or only those changed after a revision. */
  scan({ prefix, afterRevision }: RowScan): ScannedRows {
    const changed = this.#changedSince(afterRevision)
      .filter(({ key }) => key.startsWith(prefix))
      .sort(compareKeys);
    const deleted = changed.filter(({ value }) => value === undefined);
    return {
      rows: changed.flatMap(toRow),
      deleted: afterRevision === 0 ? [] : deleted.map(({ key }) => key),
      revision: this.#revision,
    };
  }

  #apply({ puts, deletes }: TableTransaction): void {
    if (puts.length === 0 && deletes.length === 0) {
      return;
    }
    this.#revision += 1;
    for (const { key, value } of puts) {
      this.#put(key, value);
    }
    for (const key of deletes) {
      this.#delete(key);
    }
  }

  #put(key: string, value: string): void {
    const version = (this.#keyStates.get(key)?.version ?? 0) + 1;
    this.#keyStates.set(key, { key, value, version, revision: this.#revision });
  }

  #delete(key: string): void {
    const state = this.#keyStates.get(key);
    if (state?.value !== undefined) {
      const revision = this.#revision;
      this.#keyStates.set(key, { ...state, value: undefined, revision });
    }
  }

  #currentVersion(key: string): number {
    const state = this.#keyStates.get(key);
    return state?.value === undefined ? 0 : state.version;
  }

  #changedSince(revision: number): KeyState[] {
    if (revision >= this.#revision) {
      return [];
    }
    return [...this.#keyStates.values()]
      .filter((state) => state.revision > revision);
  }
}

function toRow({ key, value, version }: KeyState): Row[] {
  return value === undefined ? [] : [{ key, value, version }];
}

function compareKeys(a: KeyState, b: KeyState): number {
  return a.key < b.key ? -1 : Number(a.key > b.key);
}

import { err, ok, type Result } from "neverthrow";

/** A row with the number of its changes. */
export interface Row {
  readonly key: string;
  readonly value: string;
  readonly version: number;
}

/** One transaction; applied as a whole or not at all. */
export interface TableTransaction {
  /** A version of 0 requires that the row does not exist. */
  readonly checks: readonly {
    readonly key: string;
    readonly version: number;
  }[];
  readonly puts: readonly { readonly key: string; readonly value: string }[];
  readonly deletes: readonly string[];
}

/** A transaction that was applied. */
export interface Committed {
  readonly revision: number;
}

/** The keys whose checks failed; nothing was applied. */
export interface CommitConflict {
  readonly conflicts: readonly string[];
}

/** Which rows are read. */
export interface RowScan {
  readonly prefix: string;
  /** 0 for a full scan. */
  readonly afterRevision: number;
}

/** The rows that a scan found, and the revision it read. */
export interface ScannedRows {
  /** In order of key. */
  readonly rows: readonly Row[];
  readonly deleted: readonly string[];
  readonly revision: number;
}

/** The latest state of a key; a deleted key keeps its version. */
interface Entry {
  readonly key: string;
  /** Undefined when the row is deleted. */
  readonly value: string | undefined;
  readonly version: number;
  /** Revision of the table at the key's last change. */
  readonly revision: number;
}

/**
 * A transactional table in memory, without I/O or time.
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
  readonly #entries = new Map<string, Entry>();
  #revision = 0;

  /** Puts are applied in their order, then deletes. */
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

  /** Reads the rows under a prefix, or only their changes. */
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
    const version = (this.#entries.get(key)?.version ?? 0) + 1;
    this.#entries.set(key, { key, value, version, revision: this.#revision });
  }

  #delete(key: string): void {
    const entry = this.#entries.get(key);
    if (entry?.value !== undefined) {
      const revision = this.#revision;
      this.#entries.set(key, { ...entry, value: undefined, revision });
    }
  }

  #currentVersion(key: string): number {
    const entry = this.#entries.get(key);
    return entry?.value === undefined ? 0 : entry.version;
  }

  #changedSince(revision: number): Entry[] {
    if (revision >= this.#revision) {
      return [];
    }
    return [...this.#entries.values()]
      .filter((entry) => entry.revision > revision);
  }
}

function toRow({ key, value, version }: Entry): Row[] {
  return value === undefined ? [] : [{ key, value, version }];
}

function compareKeys(a: Entry, b: Entry): number {
  return a.key < b.key ? -1 : Number(a.key > b.key);
}

import {
  CONFIGURATION_ROW,
  sectionObjectKey,
} from "@mustardweir/configuration";
import { type Configuration, ConfigurationSection } from "@mustardweir/model";
import { TransactionalTable } from "@mustardweir/platform-stub";
import {
  type CommitResult,
  type GetObjectResult,
  type ScanResult,
  StoreStatus,
  type Transaction,
} from "@mustardweir/protocol";

/** Simulates the platform's table and objects without delays or faults. */
export class InstantStore {
  readonly #table = new TransactionalTable();
  readonly #objects = new Map<string, string>();

  /** Replaces the configuration. */
  configure(configuration: Configuration): void {
    const sections: Record<string, string> = {};
    for (const section of Object.values(ConfigurationSection)) {
      const body = JSON.stringify(configuration[section]);
      const key = sectionObjectKey(body);
      this.#objects.set(key, body);
      sections[section] = key;
    }
    const { version } = configuration;
    const value = JSON.stringify({ version, sections, nonces: ["bench"] });
    const puts = [{ key: CONFIGURATION_ROW, value }];
    this.commit({ checks: [], puts, deletes: [] });
  }

  commit(transaction: Transaction): CommitResult {
    return this.#table.commit(transaction).match<CommitResult>(
      ({ revision }) => ({ status: StoreStatus.Ok, revision }),
      () => ({ status: StoreStatus.Conflict }),
    );
  }

  scan(request: { prefix: string; afterRevision: number }): ScanResult {
    return { status: StoreStatus.Ok, page: this.#table.scan(request) };
  }

  getObject(key: string): GetObjectResult {
    const body = this.#objects.get(key);
    return body === undefined
      ? { status: StoreStatus.NotFound }
      : { status: StoreStatus.Ok, body };
  }
}

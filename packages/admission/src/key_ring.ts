import { timingSafeEqual } from "node:crypto";
import {
  type KeyRecord,
  KeyRole,
  type Refusal,
  RefusalReason,
  refuse,
} from "@mustardweir/model";
import { err, ok, type Result } from "neverthrow";

/** Id under which calls with the operator's key of the settings are known. */
export const SETTINGS_KEY_ID = "settings-operator";

/** Hexadecimal digits by which keys are grouped. */
const GROUP_DIGITS = 4;

/** Who makes a call. */
export interface CallerIdentity {
  readonly keyId: string;
  readonly role: KeyRole;
  /** Set for submitters. */
  readonly team?: string;
}

/**
 * The keys in force, found by hash. Hashes are compared in constant time.
 *
 * @example
 * ```ts
 * const ring = new KeyRing({ keys: configuration.keys });
 * const caller = ring.identify(req.keyHash, req.wallMs);
 * ```
 */
export class KeyRing {
  readonly #groups = new Map<string, KeyRecord[]>();

  constructor(options: {
    readonly keys?: readonly KeyRecord[];
    readonly operatorKeyHash?: string;
  } = {}) {
    const { keys = [], operatorKeyHash } = options;
    keys.forEach((key) => this.#add(key));
    if (operatorKeyHash !== undefined) {
      this.#add({
        id: SETTINGS_KEY_ID,
        hash: operatorKeyHash,
        role: KeyRole.Operator,
      });
    }
  }

  /** Finds the key with `hash` and checks that it holds at `wallMs`. */
  identify(hash: string, wallMs: number): Result<CallerIdentity, Refusal> {
    const group = this.#groups.get(groupOf(hash)) ?? [];
    const key = group.find((candidate) => equalHashes(candidate.hash, hash));
    if (key === undefined) {
      const message = "The key is not known";
      return err(refuse(RefusalReason.UnknownKey, { message }));
    }
    if (key.expiresAtMs !== undefined && wallMs >= key.expiresAtMs) {
      const expired = new Date(key.expiresAtMs).toISOString();
      const message = `The key ${key.id} expired at ${expired}`;
      return err(refuse(RefusalReason.KeyWithdrawn, { message }));
    }
    return ok({ keyId: key.id, role: key.role, team: key.team });
  }

  #add(key: KeyRecord): void {
    const group = groupOf(key.hash);
    this.#groups.set(group, [...this.#groups.get(group) ?? [], key]);
  }
}

function groupOf(hash: string): string {
  return hash.slice(0, GROUP_DIGITS);
}

function equalHashes(a: string, b: string): boolean {
  const left = Buffer.from(a);
  const right = Buffer.from(b);
  return left.length === right.length && timingSafeEqual(left, right);
}

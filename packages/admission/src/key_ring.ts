import { timingSafeEqual } from "node:crypto";
import {
  type KeyRecord,
  KeyRole,
  type Refusal,
  RefusalReason,
  refuse,
} from "@mustardweir/model";
import { err, ok, type Result } from "neverthrow";

/** Key id that identifies calls made with the operator key of the settings. */
export const SETTINGS_KEY_ID = "settings-operator";

/** Number of leading hexadecimal digits of the hash that select a group. */
const GROUP_DIGITS = 4;

/** The caller, as identified by its key. */
export interface CallerIdentity {
  readonly keyId: string;
  readonly role: KeyRole;
  /** Team of a submitter's key. */
  readonly team?: string;
}

/**
 * Finds accepted keys by their hash. Hashes are compared in constant time.
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

  /** Finds the key with `hash`; refuses an unknown or an expired one. */
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

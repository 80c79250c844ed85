import {
  type Configuration,
  ConfigurationSection,
  KeyRole,
} from "@mustardweir/model";
import { err, ok, type Result } from "neverthrow";
import type { DocumentError } from "./document.ts";

/** An edit, with the configurations before and after it. */
export interface EditCheck {
  readonly base: Configuration;
  readonly edited: Configuration;
  readonly section: ConfigurationSection;
  /** Wall-clock time of the edit, in milliseconds since 1970. */
  readonly wallMs: number;
}

/**
 * Checks what a section's schema can't check: references to names in other
 * sections, and the uniqueness and expiry of keys. Unknown zones, and keys with
 * an unknown team or a past expiry, are accepted if the base already contains
 * them, so that they can be fixed one at a time.
 *
 * @example
 * ```ts
 * const checked = checkEdit({ base, edited, section, wallMs });
 * if (checked.isErr()) return refuseEdit(checked.error.message);
 * ```
 */
export function checkEdit(check: EditCheck): Result<void, DocumentError> {
  const message = findViolation(check);
  return message === undefined ? ok(undefined) : err({ message });
}

function findViolation(check: EditCheck): string | undefined {
  switch (check.section) {
    case ConfigurationSection.Inventory:
      return undefined;
    case ConfigurationSection.Rules:
      return findRemovedTeamWithKey(check) ?? findUnknownObjectiveTeam(check);
    case ConfigurationSection.Zones:
      return findUnknownZone(check);
    case ConfigurationSection.Keys:
      return findKeyViolation(check);
  }
}

function findRemovedTeamWithKey(
  { base, edited }: EditCheck,
): string | undefined {
  const teams = teamNames(edited);
  const before = teamNames(base);
  const key = edited.keys.find(({ team }) =>
    team !== undefined && before.has(team) && !teams.has(team)
  );
  return key &&
    `rules.teams: team ${key.team} still has the key ${key.id}; withdraw it first`;
}

function findUnknownObjectiveTeam({ edited }: EditCheck): string | undefined {
  const teams = teamNames(edited);
  const index = edited.rules.objectives.findIndex((o) => !teams.has(o.team));
  const objective = edited.rules.objectives[index];
  return objective &&
    `rules.objectives.${index}.team: unknown team: ${objective.team}`;
}

function findUnknownZone({ base, edited }: EditCheck): string | undefined {
  const known = new Set([
    ...edited.inventory.availabilityZones.map((zone) => zone.name),
    ...Object.keys(base.zones),
  ]);
  const unknown = Object.keys(edited.zones).find((zone) => !known.has(zone));
  return unknown === undefined
    ? undefined
    : `zones.${unknown}: the inventory has no such availability zone`;
}

function findKeyViolation(check: EditCheck): string | undefined {
  const { base, edited, wallMs } = check;
  const teams = teamNames(edited);
  const old = new Set(base.keys.map((key) => key.id));
  const ids = new Set<string>();
  const hashes = new Set<string>();
  for (const [index, key] of edited.keys.entries()) {
    const path = `keys.${index}`;
    if (ids.has(key.id)) {
      return `${path}.id: ${key.id} is listed twice`;
    }
    if (hashes.has(key.hash)) {
      return `${path}.hash: ${key.id} has the hash of another key`;
    }
    ids.add(key.id);
    hashes.add(key.hash);
    if (old.has(key.id)) {
      continue;
    }
    if (key.role === KeyRole.Submitter && !teams.has(key.team ?? "")) {
      return `${path}.team: unknown team: ${key.team ?? "none given"}`;
    }
    if (key.expiresAtMs !== undefined && key.expiresAtMs <= wallMs) {
      return `${path}.expiresAtMs: ${key.id} has expired`;
    }
  }
  return undefined;
}

function teamNames(configuration: Configuration): Set<string> {
  return new Set(configuration.rules.teams.map((team) => team.name));
}

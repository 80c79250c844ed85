import { KeyRole } from "@mustardweir/model";
import { CallerCallKind } from "@mustardweir/protocol";

const EVERYONE = Object.values(KeyRole);
const READERS = [KeyRole.Viewer, KeyRole.Operator];

/** What each call does, for messages. */
const CALL_ACTIONS: Readonly<Record<CallerCallKind, string>> = {
  [CallerCallKind.Submit]: "submit jobs",
  [CallerCallKind.Status]: "read jobs",
  [CallerCallKind.Cancel]: "cancel jobs",
  [CallerCallKind.List]: "list jobs",
  [CallerCallKind.ReadConfiguration]: "read the configuration",
  [CallerCallKind.EditConfiguration]: "edit the configuration",
  [CallerCallKind.Teams]: "read the teams",
  [CallerCallKind.Fleet]: "read the fleet",
  [CallerCallKind.Burn]: "read the burn report",
};

/** A role with its article. */
const ROLE_NAMES: Readonly<Record<KeyRole, string>> = {
  [KeyRole.Operator]: "An operator",
  [KeyRole.Submitter]: "A submitter",
  [KeyRole.Viewer]: "A viewer",
};

/** Who may make which call; submitters only for their own team. */
export const CALL_ROLES: Readonly<Record<CallerCallKind, readonly KeyRole[]>> =
  {
    [CallerCallKind.Submit]: [KeyRole.Submitter],
    [CallerCallKind.Status]: EVERYONE,
    [CallerCallKind.Cancel]: [KeyRole.Submitter, KeyRole.Operator],
    [CallerCallKind.List]: EVERYONE,
    [CallerCallKind.ReadConfiguration]: READERS,
    [CallerCallKind.EditConfiguration]: [KeyRole.Operator],
    [CallerCallKind.Teams]: EVERYONE,
    [CallerCallKind.Fleet]: READERS,
    [CallerCallKind.Burn]: EVERYONE,
  };

/**
 * Says that a role may not make a call.
 *
 * @example
 * ```ts
 * describeDenial(KeyRole.Operator, CallerCallKind.Submit);
 * // "An operator's key may not submit jobs"
 * ```
 */
export function describeDenial(role: KeyRole, kind: CallerCallKind): string {
  return `${ROLE_NAMES[role]}'s key may not ${CALL_ACTIONS[kind]}`;
}

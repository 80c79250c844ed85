import { KeyRole } from "@mustardweir/model";
import { CallerCallKind } from "@mustardweir/protocol";

const ALL_ROLES = Object.values(KeyRole);
const READER_ROLES = [KeyRole.Viewer, KeyRole.Operator];

/** The action of each call, for error messages. */
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

/** Each role with its article, for error messages. */
const ROLE_NAMES: Readonly<Record<KeyRole, string>> = {
  [KeyRole.Operator]: "An operator",
  [KeyRole.Submitter]: "A submitter",
  [KeyRole.Viewer]: "A viewer",
};

/**
 * The roles that may make each call. Submitters access jobs and the burn report
 * of their own team only; the teams call lists all teams.
 */
export const CALL_ROLES: Readonly<Record<CallerCallKind, readonly KeyRole[]>> =
  {
    [CallerCallKind.Submit]: [KeyRole.Submitter],
    [CallerCallKind.Status]: ALL_ROLES,
    [CallerCallKind.Cancel]: [KeyRole.Submitter, KeyRole.Operator],
    [CallerCallKind.List]: ALL_ROLES,
    [CallerCallKind.ReadConfiguration]: READER_ROLES,
    [CallerCallKind.EditConfiguration]: [KeyRole.Operator],
    [CallerCallKind.Teams]: ALL_ROLES,
    [CallerCallKind.Fleet]: READER_ROLES,
    [CallerCallKind.Burn]: ALL_ROLES,
  };

/**
 * Returns the message of a refusal because a role may not make a call.
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

import { KeyRole } from "@mustardweir/model";
import { CallerCallKind } from "@mustardweir/protocol";

const EVERYONE = Object.values(KeyRole);
const READERS = [KeyRole.Viewer, KeyRole.Operator];

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

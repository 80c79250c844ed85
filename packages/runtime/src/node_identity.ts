import type { Role } from "@mustardweir/kernel";
import type { NodeIdentity } from "@mustardweir/protocol";
import { createIncarnation } from "./incarnation.ts";
import type { SettingValues } from "./setting.ts";
import type { NODE_SETTINGS } from "./settings.ts";

type IdentitySettings = Pick<
  SettingValues<typeof NODE_SETTINGS>,
  "nodeId" | "availabilityZone" | "peers"
>;

/**
 * Creates the identity, with a new incarnation, of a node that starts with
 * these settings.
 *
 * @example
 * ```ts
 * const identity = identityFromSettings(settings, Role.Scheduler);
 * ```
 */
export function identityFromSettings(
  settings: IdentitySettings,
  role: Role,
): NodeIdentity {
  return {
    nodeId: settings.nodeId,
    role,
    incarnation: createIncarnation(),
    availabilityZone: settings.availabilityZone,
    seedPeers: settings.peers,
  };
}

import { createServiceKey, type Role } from "@mustardweir/kernel";
import type { PeerAddress } from "./effects.ts";

/** Who this node is and whom it knew at its start. */
export interface NodeIdentity {
  readonly nodeId: string;
  readonly role: Role;
  /** Differs for each start of the process. */
  readonly incarnation: string;
  readonly availabilityZone: string;
  /** Where peers reach this node, host:port; absent when they don't dial. */
  readonly peerAddress?: string;
  /** Schedulers named in the settings. */
  readonly seedPeers: readonly PeerAddress[];
}

/** Given to the kernel by the process before its plug-ins are used. */
export const NODE_IDENTITY = createServiceKey<NodeIdentity>("node-identity");

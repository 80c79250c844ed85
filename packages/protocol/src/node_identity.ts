import { createServiceKey, type Role } from "@mustardweir/kernel";
import type { PeerAddress } from "./effects.ts";

/** This node's identity and the peers configured at its start. */
export interface NodeIdentity {
  readonly nodeId: string;
  readonly role: Role;
  /** Unique for each start of the process. */
  readonly incarnation: string;
  readonly availabilityZone: string;
  /** host:port for peers; absent when peers don't connect to this node. */
  readonly peerAddress?: string;
  /**
   * Processor cores that this node may use; absent where they aren't limited.
   */
  readonly cores?: number;
  /** Bandwidth of this node's link in Mbit/s; absent where it isn't limited. */
  readonly linkMbps?: number;
  /**
   * Longest lease that workers grant, in milliseconds; absent where the settings
   * don't tell.
   */
  readonly maxLeaseMs?: number;
  /**
   * Longest time from the order of a stop until the attempt has ended, in
   * milliseconds; absent where the settings don't tell.
   */
  readonly maxStopMs?: number;
  /**
   * Largest value of a record in the store, in bytes; absent where the settings
   * don't tell.
   */
  readonly maxRecordBytes?: number;
  /**
   * How many times as long a task runs away from its data, 1 or more; absent
   * where the settings don't tell.
   */
  readonly remoteFactor?: number;
  /** Schedulers listed in the settings. */
  readonly seedPeers: readonly PeerAddress[];
}

/** Provided to the kernel by the process before its plug-ins run. */
export const NODE_IDENTITY = createServiceKey<NodeIdentity>("node-identity");

import { createStateKey } from "@mustardweir/kernel";
import type { ReplyTo, StoreCall } from "@mustardweir/protocol";

/** A call that a peer makes for this node. */
export interface RelayedCall {
  readonly call: StoreCall;
  readonly replyTo: ReplyTo<never>;
  readonly peer: string;
  readonly expiresMs: number;
}

/** How this node reaches the store. */
export interface StoreRoute {
  /** Calls in a row that the store refused or left without an answer. */
  failures: number;
  /** The store is reached through peers. */
  isRelayed: boolean;
  /** The store itself is tried again then, in milliseconds. */
  nextProbeMs: number;
  /** Peers that could not help, with the time until which they are spared. */
  readonly sparedUntilMs: Map<string, number>;
  readonly relayed: Map<number, RelayedCall>;
  lastRequest: number;
  /** Nodes that this node may ask. */
  peers: readonly string[];
}

/** State of the store-route plug-in. */
export const STORE_ROUTE = createStateKey<StoreRoute>("store-route");

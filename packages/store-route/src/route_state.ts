import { createStateKey } from "@mustardweir/kernel";
import type { ReplyTo, StoreCall } from "@mustardweir/protocol";

/** A call that a peer makes for this node, until its reply or expiry. */
export interface RelayedCall {
  readonly call: StoreCall;
  readonly replyTo: ReplyTo<never>;
  readonly peer: string;
  readonly expiresMs: number;
}

/** How this node reaches the store. */
export interface StoreRoute {
  /** Consecutive direct calls that were refused or got no reply. */
  failures: number;
  /** Whether calls go through peers. */
  isRelayed: boolean;
  /** Time of the next direct call while calls go through peers, in ms. */
  nextProbeMs: number;
  /** By peer whose relayed call failed: when it may be used again, in ms. */
  readonly backoffUntilMs: Map<string, number>;
  /** By request id: calls of this node that peers make. */
  readonly relayed: Map<number, RelayedCall>;
  /** Undefined before the first request of this process. */
  lastRequestId: number | undefined;
  /** Consecutive calls that failed directly and through peers. */
  lostCalls: number;
  /**
   * Until then calls are refused here, in milliseconds: the store is away for
   * all nodes.
   */
  awayUntilMs: number;
  /** Ids of the nodes that this node may request calls from. */
  peers: readonly string[];
}

/** State of the store-route plug-in. */
export const STORE_ROUTE = createStateKey<StoreRoute>("store-route");

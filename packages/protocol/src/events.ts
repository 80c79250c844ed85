import { createCommand } from "@mustardweir/kernel";
import type { CallerRequest } from "./caller_messages.ts";
import type { PeerMessage } from "./peer_messages.ts";

/** Runs when a message of a peer has arrived. */
export const PEER_MESSAGE_RECEIVED = createCommand<{
  readonly from: string;
  readonly message: PeerMessage;
}>("peer-message-received");

/** Runs when a caller's or operator's call has arrived at an entry. */
export const CALLER_REQUESTED = createCommand<CallerRequest>(
  "caller-requested",
);

/** Runs when a caller has disconnected before its call was answered. */
export const CALLER_DISCONNECTED = createCommand<
  { readonly requestId: string }
>(
  "caller-left",
);

/**
 * Runs, before any other event, when the machine was suspended for a while that
 * the steady clock doesn't count, or when the time of day jumped ahead.
 */
export const PROCESS_SUSPENDED = createCommand<{ readonly forMs: number }>(
  "process-suspended",
);

/** Runs when the process is to stop; a `Stopped` effect ends the stop. */
export const STOP_REQUESTED = createCommand<Record<never, never>>(
  "stop-requested",
);

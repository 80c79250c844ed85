import { createCommand } from "@mustardweir/kernel";
import type { CallerRequest } from "./caller_messages.ts";
import type { PeerMessage } from "./peer_messages.ts";

/** A peer's message arrived. */
export const PEER_MESSAGE_RECEIVED = createCommand<{
  readonly from: string;
  readonly message: PeerMessage;
}>("peer-message-received");

/** A caller's or operator's call arrived at an entry. */
export const CALLER_REQUESTED = createCommand<CallerRequest>(
  "caller-requested",
);

/** The caller hung up; nobody waits for the answer. */
export const CALLER_LEFT = createCommand<{ readonly requestId: string }>(
  "caller-left",
);

/** The process was told to stop; answered by a `Stopped` effect. */
export const STOP_REQUESTED = createCommand<Record<never, never>>(
  "stop-requested",
);

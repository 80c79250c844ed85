import {
  CommandPriority,
  createCommand,
  type Kernel,
  mergeUndo,
  Plugin,
  registerPlugin,
  Role,
  type Undo,
} from "@mustardweir/kernel";
import {
  gauge,
  GAUGES_MS,
  PEER_MESSAGE_RECEIVED,
  PeerMessageKind,
} from "@mustardweir/protocol";
import {
  expireRelayed,
  RELAY_ANSWERED,
  relayAnswered,
  relayForPeer,
  replyReceived,
  STORE_ANSWERED,
  storeAnswered,
} from "./calls.ts";
import { STORE_ROUTE } from "./route_state.ts";

/** How often relayed calls are looked at, in milliseconds. */
const TICK_MS = 40;

/** Names the nodes that may be asked to call the store. */
export const RELAYS_KNOWN = createCommand<
  { readonly peers: readonly string[] }
>(
  "relays-known",
);

/** Reaches the store directly, or through a peer that it serves. */
export class StoreRoutePlugin extends Plugin {
  override readonly name = "store-route";

  override register(kernel: Kernel): Undo {
    const { Normal } = CommandPriority;
    return mergeUndo(
      kernel.registerState(STORE_ROUTE, {
        failures: 0,
        isRelayed: false,
        nextProbeMs: 0,
        sparedUntilMs: new Map(),
        relayed: new Map(),
        lastRequest: 0,
        peers: [],
      }),
      kernel.registerCommand(
        RELAYS_KNOWN,
        ({ peers }, update) => {
          update.write(STORE_ROUTE).peers = peers;
        },
        Normal,
      ),
      kernel.registerCommand(
        STORE_ANSWERED,
        (answer, update) => storeAnswered(update, answer),
        Normal,
      ),
      kernel.registerCommand(
        RELAY_ANSWERED,
        (answer, update) => relayAnswered(update, answer),
        Normal,
      ),
      kernel.registerCommand(
        PEER_MESSAGE_RECEIVED,
        ({ from, message }, update) => {
          if (message.kind === PeerMessageKind.StoreRequest) {
            relayForPeer(update, from, message);
          } else if (message.kind === PeerMessageKind.StoreReply) {
            replyReceived(update, message);
          }
        },
        Normal,
      ),
      kernel.registerPeriodic({ intervalMs: TICK_MS, run: expireRelayed }),
      kernel.registerPeriodic({
        intervalMs: GAUGES_MS,
        run: (update) => {
          const { isRelayed } = update.read(STORE_ROUTE);
          update.emit(gauge("store-relayed", isRelayed ? 1 : 0));
        },
      }),
    );
  }
}

registerPlugin({
  name: "store-route",
  roles: [Role.Combined],
  create: () => new StoreRoutePlugin(),
});

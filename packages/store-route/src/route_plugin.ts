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
  GAUGE_INTERVAL_MS,
  PEER_MESSAGE_RECEIVED,
  PeerMessageKind,
} from "@mustardweir/protocol";
import {
  expireRelayedCalls,
  handleDirectResult,
  handleStoreReply,
  RELAY_ANSWERED,
  relayForPeer,
  sendRelayedResult,
  STORE_ANSWERED,
} from "./calls.ts";
import { STORE_ROUTE } from "./route_state.ts";

/** Interval at which relayed calls are checked for expiry, in milliseconds. */
const TICK_MS = 40;

/** The same while no call is relayed. */
const IDLE_TICK_MS = 100;

/** Sets the peers that may be requested to call the store. */
export const RELAYS_KNOWN = createCommand<
  { readonly peers: readonly string[] }
>(
  "relays-known",
);

/**
 * Calls the store for the other plug-ins: directly, or through a peer that can
 * reach it. Relays calls of peers as well.
 */
export class StoreRoutePlugin extends Plugin {
  override readonly name = "store-route";

  override register(kernel: Kernel): Undo {
    const { Normal } = CommandPriority;
    return mergeUndo(
      kernel.registerState(STORE_ROUTE, {
        failures: 0,
        isRelayed: false,
        nextProbeMs: 0,
        backoffUntilMs: new Map(),
        relayed: new Map(),
        lastRequestId: undefined,
        lostCalls: 0,
        awayUntilMs: 0,
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
        (reply, update) => handleDirectResult(update, reply),
        Normal,
      ),
      kernel.registerCommand(
        RELAY_ANSWERED,
        (reply, update) => sendRelayedResult(update, reply),
        Normal,
      ),
      kernel.registerCommand(
        PEER_MESSAGE_RECEIVED,
        ({ from, message }, update) => {
          if (message.kind === PeerMessageKind.StoreRequest) {
            relayForPeer(update, from, message);
          } else if (message.kind === PeerMessageKind.StoreReply) {
            handleStoreReply(update, from, message);
          }
        },
        Normal,
      ),
      kernel.registerPeriodic({
        intervalMs: TICK_MS,
        run: expireRelayedCalls,
        isIdle: (update) => update.read(STORE_ROUTE).relayed.size === 0,
        idleIntervalMs: IDLE_TICK_MS,
      }),
      kernel.registerPeriodic({
        intervalMs: GAUGE_INTERVAL_MS,
        run: (update) => {
          const { isRelayed, awayUntilMs } = update.read(STORE_ROUTE);
          update.emit(gauge("store-relayed", isRelayed ? 1 : 0));
          update.emit(gauge("store-away", awayUntilMs > update.now ? 1 : 0));
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

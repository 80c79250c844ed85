import {
  CommandPriority,
  type Kernel,
  mergeUndo,
  Plugin,
  registerPlugin,
  Role,
  type Undo,
} from "@mustardweir/kernel";
import {
  PEER_MESSAGE_RECEIVED,
  PeerMessageKind,
  STOP_REQUESTED,
} from "@mustardweir/protocol";
import { CLAIM_ANSWERED } from "./claim_answered.ts";
import { claimUnits, handleClaimResult } from "./claiming.ts";
import { CLAIMS } from "./claim_state.ts";
import {
  CLAIMS_SUPERSEDED,
  COMPOSE_CLAIMS,
  MAJORITY_VOUCHED,
} from "./confirmation_plugin.ts";
import { OWNERSHIP_CHANGED, OWNERSHIP_CONFIRMED } from "./follower_plugin.ts";
import { OWNED, UNIT_SUPERSEDED } from "./owned.ts";
import {
  addOwnClaims,
  checkClaims,
  checkRow,
  confirmOwnership,
} from "./owned_units.ts";
import {
  handleReleaseResult,
  rebalance,
  RELEASE_ANSWERED,
  startStop,
} from "./releasing.ts";

/** Interval of checks for units without a live owner, in milliseconds. */
const CLAIM_INTERVAL_MS = 250;

/**
 * Interval at which one unit may be handed to its preferred owner, in
 * milliseconds.
 */
const REBALANCE_INTERVAL_MS = 2_000;

/** Takes over units without a live owner; gives them up when superseded. */
export class ClaimPlugin extends Plugin {
  override readonly name = "claim";

  override register(kernel: Kernel): Undo {
    return mergeUndo(
      kernel.registerState(OWNED, {
        units: new Map(),
        confirmedAt: -Infinity,
      }),
      kernel.registerState(CLAIMS, {
        startedAt: undefined,
        inFlight: new Set<string>(),
        needed: [],
        neededVersion: -1,
        aliveSince: new Map(),
        stopRequestedAt: undefined,
      }),
      ...this.#registerCommands(kernel),
      kernel.registerPeriodic({
        intervalMs: CLAIM_INTERVAL_MS,
        run: claimUnits,
      }),
      kernel.registerPeriodic({
        intervalMs: REBALANCE_INTERVAL_MS,
        run: rebalance,
      }),
    );
  }

  #registerCommands(kernel: Kernel): Undo[] {
    return [
      kernel.registerCommand(
        CLAIM_ANSWERED,
        ({ context, result }, update) =>
          handleClaimResult(update, context, result),
        CommandPriority.Normal,
      ),
      kernel.registerCommand(
        RELEASE_ANSWERED,
        ({ context, result }, update) =>
          handleReleaseResult(update, context, result),
        CommandPriority.Normal,
      ),
      kernel.registerCommand(
        OWNERSHIP_CHANGED,
        ({ unit }, update) => checkRow(update, unit),
        CommandPriority.High,
      ),
      kernel.registerCommand(
        OWNERSHIP_CONFIRMED,
        ({ startedAt }, update) => confirmOwnership(update, startedAt),
        CommandPriority.High,
      ),
      kernel.registerCommand(
        MAJORITY_VOUCHED,
        ({ at }, update) => confirmOwnership(update, at),
        CommandPriority.High,
      ),
      kernel.registerCommand(
        COMPOSE_CLAIMS,
        ({ owned }, update) => addOwnClaims(owned, update),
        CommandPriority.Normal,
      ),
      kernel.registerCommand(
        CLAIMS_SUPERSEDED,
        ({ superseded }, update) => checkClaims(update, superseded),
        CommandPriority.Normal,
      ),
      kernel.registerCommand(
        PEER_MESSAGE_RECEIVED,
        ({ message }, update) => {
          if (message.kind === PeerMessageKind.Heartbeat) {
            checkClaims(update, [...message.superseded, ...message.owned]);
          }
        },
        CommandPriority.High,
      ),
      kernel.registerCommand(
        UNIT_SUPERSEDED,
        ({ unit, epoch }, update) => checkClaims(update, [{ unit, epoch }]),
        CommandPriority.Normal,
      ),
      kernel.registerCommand(
        STOP_REQUESTED,
        (_payload, update) => startStop(update),
        CommandPriority.Low,
      ),
    ];
  }
}

registerPlugin({
  name: "claim",
  roles: [Role.Scheduler],
  create: () => new ClaimPlugin(),
});

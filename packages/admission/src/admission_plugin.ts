import {
  CONFIGURATION,
  CONFIGURATION_CHANGED,
  isConfirmed,
} from "@mustardweir/configuration";
import {
  CommandPriority,
  type Kernel,
  mergeUndo,
  Plugin,
  registerPlugin,
  Role,
  type Undo,
  type Update,
} from "@mustardweir/kernel";
import {
  type Configuration,
  EMPTY_CONFIGURATION,
  type Refusal,
  RefusalReason,
  refuse,
} from "@mustardweir/model";
import {
  CALLER_DISCONNECTED,
  CALLER_REQUESTED,
  CallerCallKind,
  type CallerRequest,
  count,
  EffectKind,
  HomeCallKind,
  NODE_IDENTITY,
  nodeEffect,
  PEER_MESSAGE_RECEIVED,
  PeerMessageKind,
  STOP_REQUESTED,
} from "@mustardweir/protocol";
import { err, ok, type Result } from "neverthrow";
import {
  addPending,
  ADMISSION,
  type AdmissionState,
  answerCaller,
  type PendingCall,
  refuseCaller,
  removePending,
} from "./admission_state.ts";
import { CALL_ROLES, describeDenial } from "./call_roles.ts";
import { summarizeInventory } from "./feasibility.ts";
import { type HomeTarget, resolveTarget } from "./home_target.ts";
import { type CallerIdentity, KeyRing } from "./key_ring.ts";
import {
  collectBurn,
  editConfiguration,
  readConfiguration,
  registerOperatorCalls,
} from "./operator_calls.ts";
import { advancePending, handleHomeReply, routeCall } from "./routing.ts";
import { ADMISSION_SETTINGS, MAX_PENDING_CALLS } from "./settings.ts";
import { buildFleetAnswer, buildTeamsAnswer } from "./fleet_answers.ts";

/** Time between checks of pending calls, in milliseconds. */
const PENDING_CHECK_INTERVAL_MS = 100;

/** Number of pending calls that every team may have, whatever its share. */
const MIN_TEAM_PENDING = 100;

/** Authenticates callers, admits their calls and returns the answers. */
export class AdmissionPlugin extends Plugin {
  override readonly name = "admission";

  override register(kernel: Kernel): Undo {
    const normal = CommandPriority.Normal;
    return mergeUndo(
      kernel.registerState(ADMISSION, createAdmissionState()),
      kernel.registerCommand(CALLER_REQUESTED, onRequested, normal),
      kernel.registerCommand(CALLER_DISCONNECTED, onDisconnected, normal),
      registerOperatorCalls(kernel),
      kernel.registerCommand(
        CONFIGURATION_CHANGED,
        ({ current }, update) => applyConfiguration(current, update),
        CommandPriority.High,
      ),
      kernel.registerCommand(
        PEER_MESSAGE_RECEIVED,
        ({ from, message }, update) => {
          if (message.kind === PeerMessageKind.HomeReply) {
            handleHomeReply(from, message, update);
          }
        },
        normal,
      ),
      kernel.registerCommand(STOP_REQUESTED, onStopRequested, normal),
      kernel.registerPeriodic({
        intervalMs: PENDING_CHECK_INTERVAL_MS,
        run: advance,
      }),
    );
  }
}

registerPlugin({
  name: "admission",
  roles: [Role.Entry],
  create: () => new AdmissionPlugin(),
});

/**
 * Returns whether the entry node accepts calls: its configuration is confirmed
 * and it is not stopping.
 *
 * @example
 * ```ts
 * const isReady = () => isAdmitting(kernel, clock.now());
 * ```
 */
export function isAdmitting(kernel: Kernel, now: number): boolean {
  return !kernel.read(ADMISSION).isStopping &&
    isConfirmed(kernel.read(CONFIGURATION), now);
}

function createAdmissionState(): AdmissionState {
  return {
    keys: new KeyRing(),
    fleet: summarizeInventory(EMPTY_CONFIGURATION.inventory),
    nextCall: 1,
    pending: new Map(),
    byRequest: new Map(),
    pendingOfTeam: new Map(),
    budgets: new Map(),
    edits: new Map(),
    reports: new Set(),
    isStopping: false,
    isStopped: false,
  };
}

function applyConfiguration(current: Configuration, update: Update): void {
  const state = update.write(ADMISSION);
  const { operatorKeyHash } = update.service(ADMISSION_SETTINGS);
  state.keys = new KeyRing({ keys: current.keys, operatorKeyHash });
  state.fleet = summarizeInventory(current.inventory);
}

function onRequested(request: CallerRequest, update: Update): void {
  update.emit(count(`calls_${request.call.kind}`));
  const admitted = admit(request, update);
  if (admitted.isErr()) {
    refuseCaller(request.requestId, admitted.error, update);
    return;
  }
  const served = performCall(request, admitted.value, update);
  if (served.isErr()) {
    refuseCaller(request.requestId, served.error, update);
  }
}

/** Checks that the node can serve calls and identifies the caller. */
function admit(
  request: CallerRequest,
  update: Update,
): Result<CallerIdentity, Refusal> {
  const state = update.read(ADMISSION);
  if (state.isStopping) {
    const message = "This entry node is stopping; send the call to another one";
    return err(refuse(RefusalReason.Stopping, { message }));
  }
  const configuration = update.read(CONFIGURATION);
  if (!isConfirmed(configuration, update.now)) {
    const message = "The configuration can't be confirmed at the moment";
    return err(refuse(RefusalReason.ConfigurationUnconfirmed, { message }));
  }
  return activeKeys(update).identify(request.keyHash, request.wallMs);
}

/** Before the first version only the operator key of the settings is valid. */
function activeKeys(update: Update): KeyRing {
  const { current } = update.read(CONFIGURATION);
  return current.version > 0
    ? update.read(ADMISSION).keys
    : new KeyRing(update.service(ADMISSION_SETTINGS));
}

function performCall(
  request: CallerRequest,
  caller: CallerIdentity,
  update: Update,
): Result<void, Refusal> {
  const { kind } = request.call;
  if (!CALL_ROLES[kind].includes(caller.role)) {
    return err(notPermitted(describeDenial(caller.role, kind)));
  }
  const { call, requestId } = request;
  switch (call.kind) {
    case CallerCallKind.ReadConfiguration:
      readConfiguration(requestId, update);
      return ok(undefined);
    case CallerCallKind.EditConfiguration:
      editConfiguration(request, { caller, call }, update);
      return ok(undefined);
    case CallerCallKind.Teams:
      answerCaller(requestId, buildTeamsAnswer(update), update);
      return ok(undefined);
    case CallerCallKind.Fleet:
      answerCaller(requestId, buildFleetAnswer(update), update);
      return ok(undefined);
    case CallerCallKind.Burn:
      collectBurn(requestId, caller, update);
      return ok(undefined);
    default:
      return resolveTarget(call, {
        caller,
        rules: update.read(CONFIGURATION).current.rules,
        fleet: update.read(ADMISSION).fleet,
      }).andThen((target) =>
        forwardToHome(request, { caller, target }, update)
      );
  }
}

function forwardToHome(
  request: CallerRequest,
  options: { readonly caller: CallerIdentity; readonly target: HomeTarget },
  update: Update,
): Result<void, Refusal> {
  const { team, call } = options.target;
  if (hasReachedPendingLimit(team, update)) {
    const message = `Team ${team} has too many calls waiting for an answer`;
    return err(refuse(RefusalReason.Overloaded, { message }));
  }
  const state = update.write(ADMISSION);
  const { nodeId, incarnation } = update.service(NODE_IDENTITY);
  const pending: PendingCall = {
    callId: `${nodeId}/${incarnation}/${state.nextCall++}`,
    requestId: request.requestId,
    team,
    keyId: options.caller.keyId,
    call,
    arrivedAt: update.now,
    expiresAt: update.now + request.ttlMs,
    ownerEpoch: 0,
    sends: 0,
    redirects: 0,
    resendAt: update.now,
  };
  addPending(state, pending);
  routeCall(pending, update);
  return ok(undefined);
}

/**
 * Returns whether the node or the team has as many pending calls as it may
 * have. Teams share the node's limit in proportion to their shares.
 */
function hasReachedPendingLimit(team: string, update: Update): boolean {
  const { pending, pendingOfTeam } = update.read(ADMISSION);
  const { pendingLimit = MAX_PENDING_CALLS } = update.service(
    ADMISSION_SETTINGS,
  );
  const { teams } = update.read(CONFIGURATION).current.rules;
  const shares = teams.reduce((sum, rule) => sum + rule.share, 0);
  const share = teams.find((rule) => rule.name === team)?.share ?? 0;
  const teamPart = shares > 0 ? pendingLimit * share / shares : 0;
  const teamLimit = Math.max(MIN_TEAM_PENDING, teamPart);
  return pending.size >= pendingLimit ||
    (pendingOfTeam.get(team) ?? 0) >= teamLimit;
}

/** Drops a read-only call whose caller has disconnected. */
function onDisconnected(
  { requestId }: { readonly requestId: string },
  update: Update,
): void {
  const state = update.write(ADMISSION);
  const call = state.pending.get(state.byRequest.get(requestId) ?? "");
  const kind = call?.call.kind;
  const isRead = kind === HomeCallKind.Status || kind === HomeCallKind.List;
  if (call && isRead) {
    removePending(state, call);
  }
}

function onStopRequested(_request: unknown, update: Update): void {
  update.write(ADMISSION).isStopping = true;
}

function advance(update: Update): void {
  advancePending(update);
  const state = update.read(ADMISSION);
  const { isStopping, isStopped } = state;
  const isIdle = [state.pending, state.edits, state.reports]
    .every(({ size }) => size === 0);
  if (isStopping && !isStopped && isIdle) {
    update.write(ADMISSION).isStopped = true;
    update.emit(nodeEffect({ kind: EffectKind.Stopped }));
  }
}

function notPermitted(message: string): Refusal {
  return refuse(RefusalReason.NotPermitted, { message });
}

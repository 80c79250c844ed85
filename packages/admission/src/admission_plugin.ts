import { COLLECT_BURN } from "@mustardweir/burn";
import {
  CONFIGURATION,
  CONFIGURATION_CHANGED,
  EDIT_CONFIGURATION,
  type EditResult,
  isConfirmed,
} from "@mustardweir/configuration";
import {
  CommandPriority,
  createCommand,
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
  type Answered,
  type BurnReport,
  CALLER_LEFT,
  CALLER_REQUESTED,
  CallerAnswerKind,
  CallerCallKind,
  type CallerRequest,
  count,
  EffectKind,
  HomeCallKind,
  logChange,
  NODE_IDENTITY,
  nodeEffect,
  PEER_MESSAGE_RECEIVED,
  PeerMessageKind,
  replyTo,
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
import { describeEdit } from "./audit.ts";
import { CALL_ROLES } from "./call_roles.ts";
import { describeFleet } from "./fleet_shape.ts";
import { type HomeTarget, resolveTarget } from "./home_target.ts";
import { type CallerIdentity, KeyRing } from "./key_ring.ts";
import { drivePending, routeCall, takeReply } from "./routing.ts";
import { ADMISSION_SETTINGS, MAX_PENDING_CALLS } from "./settings.ts";
import { fleetStanding, teamStandings } from "./standing.ts";

/** Time between looks at waiting calls, in milliseconds. */
const DRIVE_INTERVAL_MS = 100;

/** Waiting calls that every team may have, whatever its share. */
const MIN_TEAM_PENDING = 100;

const BURN_COLLECTED = createCommand<Answered<string, BurnReport>>(
  "admission-burn-collected",
);

const EDIT_ANSWERED = createCommand<Answered<string, EditResult>>(
  "admission-edit-answered",
);

/** Checks callers' keys, admits their calls and brings the answers back. */
export class AdmissionPlugin extends Plugin {
  override readonly name = "admission";

  override register(kernel: Kernel): Undo {
    const normal = CommandPriority.Normal;
    return mergeUndo(
      kernel.registerState(ADMISSION, createAdmissionState()),
      kernel.registerCommand(CALLER_REQUESTED, onRequested, normal),
      kernel.registerCommand(CALLER_LEFT, onLeft, normal),
      kernel.registerCommand(EDIT_ANSWERED, onEditAnswered, normal),
      kernel.registerCommand(BURN_COLLECTED, onBurnCollected, normal),
      kernel.registerCommand(
        CONFIGURATION_CHANGED,
        ({ current }, update) => applyConfiguration(current, update),
        CommandPriority.High,
      ),
      kernel.registerCommand(
        PEER_MESSAGE_RECEIVED,
        ({ from, message }, update) => {
          if (message.kind === PeerMessageKind.HomeReply) {
            takeReply(from, message, update);
          }
        },
        normal,
      ),
      kernel.registerCommand(STOP_REQUESTED, onStopRequested, normal),
      kernel.registerPeriodic({
        intervalMs: DRIVE_INTERVAL_MS,
        run: drive,
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
 * True while the entry takes calls: its configuration is confirmed and it is
 * not stopping.
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
    fleet: describeFleet(EMPTY_CONFIGURATION.inventory),
    nextCall: 1,
    pending: new Map(),
    byRequest: new Map(),
    pendingOfTeam: new Map(),
    budgets: new Map(),
    edits: new Map(),
    isStopping: false,
    isStopped: false,
  };
}

function applyConfiguration(current: Configuration, update: Update): void {
  const state = update.write(ADMISSION);
  const { operatorKeyHash } = update.service(ADMISSION_SETTINGS);
  state.keys = new KeyRing({ keys: current.keys, operatorKeyHash });
  state.fleet = describeFleet(current.inventory);
}

function onRequested(request: CallerRequest, update: Update): void {
  update.emit(count(`calls_${request.call.kind}`));
  const admitted = admit(request, update);
  if (admitted.isErr()) {
    refuseCaller(request.requestId, admitted.error, update);
    return;
  }
  const served = serve(request, admitted.value, update);
  if (served.isErr()) {
    refuseCaller(request.requestId, served.error, update);
  }
}

/** Checks that the node may serve and who calls. */
function admit(
  request: CallerRequest,
  update: Update,
): Result<CallerIdentity, Refusal> {
  const state = update.read(ADMISSION);
  if (state.isStopping) {
    const message = "This entry is stopping; another one takes the call";
    return err(refuse(RefusalReason.Stopping, { message }));
  }
  const configuration = update.read(CONFIGURATION);
  if (!isConfirmed(configuration, update.now)) {
    const message = "The configuration can't be confirmed at the moment";
    return err(refuse(RefusalReason.ConfigurationUnconfirmed, { message }));
  }
  return keysInForce(update).identify(request.keyHash, request.wallMs);
}

/** Before the first version only the key of the settings is known. */
function keysInForce(update: Update): KeyRing {
  const { current } = update.read(CONFIGURATION);
  return current.version > 0
    ? update.read(ADMISSION).keys
    : new KeyRing(update.service(ADMISSION_SETTINGS));
}

function serve(
  request: CallerRequest,
  caller: CallerIdentity,
  update: Update,
): Result<void, Refusal> {
  const { kind } = request.call;
  if (!CALL_ROLES[kind].includes(caller.role)) {
    return err(notPermitted(`A ${caller.role}'s key may not ${kind}`));
  }
  switch (kind) {
    case CallerCallKind.ReadConfiguration:
      return readConfiguration(request, update);
    case CallerCallKind.EditConfiguration:
      return editConfiguration(request, caller, update);
    case CallerCallKind.Teams:
      answerCaller(request.requestId, teamStandings(update), update);
      return ok(undefined);
    case CallerCallKind.Fleet:
      answerCaller(request.requestId, fleetStanding(update), update);
      return ok(undefined);
    case CallerCallKind.Burn:
      return collectBurn(request, caller, update);
    default:
      return resolveTarget(request.call, {
        caller,
        rules: update.read(CONFIGURATION).current.rules,
        fleet: update.read(ADMISSION).fleet,
      }).andThen((target) => passToHome(request, { caller, target }, update));
  }
}

function readConfiguration(
  request: CallerRequest,
  update: Update,
): Result<void, Refusal> {
  const configuration = update.read(CONFIGURATION).current;
  const kind = CallerAnswerKind.Configuration;
  answerCaller(request.requestId, { kind, configuration }, update);
  return ok(undefined);
}

/** A submitter is told of its own team only. */
function collectBurn(
  { requestId }: CallerRequest,
  { team }: CallerIdentity,
  update: Update,
): Result<void, Refusal> {
  update.dispatch(COLLECT_BURN, {
    team,
    replyTo: replyTo(BURN_COLLECTED, requestId),
  });
  return ok(undefined);
}

function onBurnCollected(
  { context: requestId, result: report }: Answered<string, BurnReport>,
  update: Update,
): void {
  answerCaller(requestId, { kind: CallerAnswerKind.Burn, report }, update);
}

function editConfiguration(
  request: CallerRequest,
  caller: CallerIdentity,
  update: Update,
): Result<void, Refusal> {
  const { call, requestId } = request;
  if (call.kind === CallerCallKind.EditConfiguration) {
    update.write(ADMISSION).edits.set(requestId, {
      keyId: caller.keyId,
      section: call.section,
      change: describeEdit(call.section, call.body),
    });
    update.dispatch(EDIT_CONFIGURATION, {
      section: call.section,
      body: call.body,
      ifMatch: call.ifMatch,
      ttlMs: request.ttlMs,
      wallMs: request.wallMs,
      replyTo: replyTo(EDIT_ANSWERED, requestId),
    });
  }
  return ok(undefined);
}

function onEditAnswered(
  { context: requestId, result }: Answered<string, EditResult>,
  update: Update,
): void {
  const { edits } = update.write(ADMISSION);
  const edit = edits.get(requestId);
  edits.delete(requestId);
  if (result.isErr()) {
    refuseCaller(requestId, result.error, update);
    return;
  }
  const version = result.value;
  if (edit !== undefined) {
    update.emit(
      logChange("Operator edited configuration", { ...edit, version }),
    );
  }
  answerCaller(requestId, { kind: CallerAnswerKind.Edited, version }, update);
}

function passToHome(
  request: CallerRequest,
  options: { readonly caller: CallerIdentity; readonly target: HomeTarget },
  update: Update,
): Result<void, Refusal> {
  const { team, call } = options.target;
  if (isCrowded(team, update)) {
    const message = `Too many calls of ${team} wait for an answer`;
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

/** True when the table is full, or the team's part of it. */
function isCrowded(team: string, update: Update): boolean {
  const { pending, pendingOfTeam } = update.read(ADMISSION);
  const { pendingLimit = MAX_PENDING_CALLS } = update.service(
    ADMISSION_SETTINGS,
  );
  const { teams } = update.read(CONFIGURATION).current.rules;
  const shares = teams.reduce((sum, rule) => sum + rule.share, 0);
  const share = teams.find((rule) => rule.name === team)?.share ?? 0;
  const part = shares > 0 ? pendingLimit * share / shares : 0;
  const teamLimit = Math.max(MIN_TEAM_PENDING, part);
  return pending.size >= pendingLimit ||
    (pendingOfTeam.get(team) ?? 0) >= teamLimit;
}

/** Forgets a call that changes nothing when nobody waits for its answer. */
function onLeft(
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

function drive(update: Update): void {
  drivePending(update);
  const { isStopping, isStopped, pending, edits } = update.read(ADMISSION);
  const isIdle = pending.size === 0 && edits.size === 0;
  if (isStopping && !isStopped && isIdle) {
    update.write(ADMISSION).isStopped = true;
    update.emit(nodeEffect({ kind: EffectKind.Stopped }));
  }
}

function notPermitted(message: string): Refusal {
  return refuse(RefusalReason.NotPermitted, { message });
}

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
import { RefusalReason, refuse } from "@mustardweir/model";
import {
  type CommitResult,
  type CommitTableEffect,
  count,
  createEffectReply,
  EffectKind,
  type EffectReply,
  logChange,
  NODE_IDENTITY,
  type PutObjectEffect,
  type PutObjectResult,
  replyTo,
  type ScanResult,
  type ScanTableEffect,
  StoreStatus,
} from "@mustardweir/protocol";
import { err, ok } from "neverthrow";
import { ANNOUNCE_EDIT } from "./announcement.ts";
import { composeEdit } from "./compose_edit.ts";
import {
  CONFIGURATION_ROW,
  type ConfigurationDocument,
  nonceOfVersion,
  parseDocument,
  sectionObjectKey,
} from "./document.ts";
import {
  EDIT_CONFIGURATION,
  type EditRequest,
  type EditResult,
} from "./edit_request.ts";
import { CONFIGURATION_FOLLOWER, scanNow } from "./follower.ts";
import {
  beginStep,
  completeStep,
  EDITOR,
  EditStage,
  type PendingEdit,
  retryLater,
  staleRefusal,
  type StepContext,
  unknownOutcomeRefusal,
} from "./pending_edit.ts";
import { CONFIGURATION } from "./state.ts";

/** Maximum number of edits in progress at one entry node. */
export const MAX_PENDING_EDITS = 100;

/** Time between checks of pending edits, in milliseconds. */
const EDIT_CHECK_INTERVAL_MS = 100;

/** Time after which a step without a reply times out, in milliseconds. */
const EDIT_STEP_TIMEOUT_MS = 3_000;

const BODY_STORED = createCommand<EffectReply<StepContext, PutObjectResult>>(
  "configuration-body-stored",
);

const EDIT_COMMITTED = createCommand<EffectReply<StepContext, CommitResult>>(
  "configuration-edit-committed",
);

const EDIT_ANNOUNCED = createCommand<EffectReply<StepContext, true>>(
  "configuration-edit-announced",
);

const ROW_READ_BACK = createCommand<EffectReply<StepContext, ScanResult>>(
  "configuration-row-read-back",
);

/** Carries out edits of the configuration, step by step. */
export class ConfigurationEditorPlugin extends Plugin {
  override readonly name = "configuration-editor";

  override register(kernel: Kernel): Undo {
    const normal = CommandPriority.Normal;
    return mergeUndo(
      kernel.registerState(EDITOR, {
        nextId: 1,
        accepted: 0,
        edits: new Map(),
      }),
      kernel.registerCommand(EDIT_CONFIGURATION, onEdit, normal),
      kernel.registerCommand(BODY_STORED, onBodyStored, normal),
      kernel.registerCommand(EDIT_ANNOUNCED, onAnnounced, normal),
      kernel.registerCommand(EDIT_COMMITTED, onCommitted, normal),
      kernel.registerCommand(ROW_READ_BACK, onReadBack, normal),
      kernel.registerPeriodic({
        intervalMs: EDIT_CHECK_INTERVAL_MS,
        run: advanceEdits,
      }),
    );
  }
}

registerPlugin({
  name: "configuration-editor",
  roles: [Role.Entry],
  create: () => new ConfigurationEditorPlugin(),
});

function onEdit(request: EditRequest, update: Update): void {
  const state = update.write(EDITOR);
  if (state.edits.size >= MAX_PENDING_EDITS) {
    const refusal = refuse(RefusalReason.Overloaded, {
      message: "Too many edits are in progress",
    });
    reply(request, err(refusal), update);
    return;
  }
  const id = state.nextId++;
  const { nodeId, incarnation } = update.service(NODE_IDENTITY);
  const edit: PendingEdit = {
    id,
    request,
    expiresAt: update.now + request.ttlMs,
    nonce: `${nodeId}/${incarnation}/${id}`,
    stage: EditStage.AwaitingBase,
    attempt: 0,
    retryAt: update.now,
    isUncertain: false,
    body: "",
    rowVersion: 0,
  };
  state.edits.set(id, edit);
  sendStep(edit, update);
}

function advanceEdits(update: Update): void {
  for (const edit of [...update.read(EDITOR).edits.values()]) {
    if (update.now >= edit.expiresAt) {
      expire(edit, update);
      continue;
    }
    timeOutStep(edit, update);
    if (edit.sentAt === undefined && update.now >= edit.retryAt) {
      sendStep(edit, update);
    }
  }
}

function timeOutStep(edit: PendingEdit, update: Update): void {
  const { sentAt } = edit;
  if (sentAt === undefined || update.now - sentAt <= EDIT_STEP_TIMEOUT_MS) {
    return;
  }
  edit.sentAt = undefined;
  edit.isUncertain ||= edit.stage === EditStage.Committing;
  retryLater(edit, update);
}

function sendStep(edit: PendingEdit, update: Update): void {
  switch (edit.stage) {
    case EditStage.AwaitingBase:
      return prepare(edit, update);
    case EditStage.StoringBody:
      return storeBody(edit, update);
    case EditStage.Announcing:
      return announce(edit, update);
    case EditStage.Committing:
      return commit(edit, update);
    case EditStage.ReadingBack:
      return readBack(edit, update);
  }
}

/** Checks the edit against its base once the base is in force at this node. */
function prepare(edit: PendingEdit, update: Update): void {
  const { request } = edit;
  const base = update.read(CONFIGURATION).current;
  const known = update.read(CONFIGURATION_FOLLOWER).known;
  const { accepted } = update.read(EDITOR);
  const newest = Math.max(known?.document.version ?? 0, accepted);
  if (newest > request.ifMatch) {
    finish(edit, err(staleRefusal(request, newest)), update);
    return;
  }
  if (base.version < request.ifMatch) {
    edit.retryAt = update.now + EDIT_CHECK_INTERVAL_MS;
    return;
  }
  const composed = composeEdit({
    request,
    nonce: edit.nonce,
    base,
    newest: known?.document,
  });
  if (composed.isErr()) {
    const { message } = composed.error;
    finish(edit, err(refuse(RefusalReason.Malformed, { message })), update);
    return;
  }
  edit.body = composed.value.body;
  edit.document = composed.value.document;
  edit.rowVersion = known?.rowVersion ?? 0;
  edit.stage = EditStage.StoringBody;
  storeBody(edit, update);
}

function storeBody(edit: PendingEdit, update: Update): void {
  const effect: PutObjectEffect = {
    kind: EffectKind.PutObject,
    key: sectionObjectKey(edit.body),
    body: edit.body,
    replyTo: replyTo(BODY_STORED, beginStep(edit, update)),
  };
  update.emit(effect);
}

function onBodyStored(
  { context, result }: EffectReply<StepContext, PutObjectResult>,
  update: Update,
): void {
  const edit = completeStep(context, update);
  if (!edit) {
    return;
  }
  if (result.status !== StoreStatus.Ok) {
    retryLater(edit, update);
    return;
  }
  edit.stage = EditStage.Announcing;
  announce(edit, update);
}

/** Announces the edit; commits immediately if no schedulers are known. */
function announce(edit: PendingEdit, update: Update): void {
  const isAnnounced = update.dispatch(ANNOUNCE_EDIT, {
    version: edit.request.ifMatch + 1,
    replyTo: replyTo(EDIT_ANNOUNCED, beginStep(edit, update)),
  });
  if (!isAnnounced) {
    edit.stage = EditStage.Committing;
    commit(edit, update);
  }
}

function onAnnounced(
  { context }: EffectReply<StepContext, true>,
  update: Update,
): void {
  const edit = completeStep(context, update);
  if (edit?.stage === EditStage.Announcing) {
    edit.stage = EditStage.Committing;
    commit(edit, update);
  }
}

/** Sends the same conditional write each time, so at most one takes effect. */
function commit(edit: PendingEdit, update: Update): void {
  const effect: CommitTableEffect = {
    kind: EffectKind.CommitTable,
    transaction: {
      checks: [{ key: CONFIGURATION_ROW, version: edit.rowVersion }],
      puts: [{ key: CONFIGURATION_ROW, value: JSON.stringify(edit.document) }],
      deletes: [],
    },
    replyTo: replyTo(EDIT_COMMITTED, beginStep(edit, update)),
  };
  update.emit(effect);
}

function onCommitted(
  { context, result }: EffectReply<StepContext, CommitResult>,
  update: Update,
): void {
  const late = update.write(EDITOR).edits.get(context.editId);
  if (late && result.status === StoreStatus.Ok) {
    accept(late, update);
    return;
  }
  const edit = completeStep(context, update);
  if (!edit) {
    return;
  }
  if (result.status === StoreStatus.Conflict) {
    onConflict(edit, update);
    return;
  }
  edit.isUncertain ||= result.status === StoreStatus.Unknown;
  retryLater(edit, update);
}

function onConflict(edit: PendingEdit, update: Update): void {
  if (!edit.isUncertain) {
    finish(edit, err(staleRefusal(edit.request)), update);
    return;
  }
  edit.stage = EditStage.ReadingBack;
  readBack(edit, update);
}

function readBack(edit: PendingEdit, update: Update): void {
  const effect: ScanTableEffect = {
    kind: EffectKind.ScanTable,
    prefix: CONFIGURATION_ROW,
    afterRevision: 0,
    replyTo: replyTo(ROW_READ_BACK, beginStep(edit, update)),
  };
  update.emit(effect);
}

function onReadBack(
  { context, result }: EffectReply<StepContext, ScanResult>,
  update: Update,
): void {
  const edit = completeStep(context, update);
  if (!edit) {
    return;
  }
  if (result.status !== StoreStatus.Ok) {
    retryLater(edit, update);
    return;
  }
  const row = result.page.rows.find((r) => r.key === CONFIGURATION_ROW);
  const document = row && parseDocument(row.value).unwrapOr(undefined);
  if (!document || document.version <= edit.request.ifMatch) {
    retryLater(edit, update);
    return;
  }
  resolveByNonce(edit, document, update);
}

function resolveByNonce(
  edit: PendingEdit,
  document: ConfigurationDocument,
  update: Update,
): void {
  const nonce = nonceOfVersion(document, edit.request.ifMatch + 1);
  if (nonce === edit.nonce) {
    accept(edit, update);
  } else if (nonce !== undefined) {
    finish(edit, err(staleRefusal(edit.request, document.version)), update);
  } else {
    finish(edit, err(unknownOutcomeRefusal()), update);
  }
}

function accept(edit: PendingEdit, update: Update): void {
  const version = edit.request.ifMatch + 1;
  const { section } = edit.request;
  const state = update.write(EDITOR);
  state.accepted = Math.max(state.accepted, version);
  scanNow(update);
  update.emit(logChange("Configuration edited", { version, section }));
  update.emit(count("configuration_edits_accepted"));
  finish(edit, ok(version), update);
}

function expire(edit: PendingEdit, update: Update): void {
  const isInFlight = edit.stage === EditStage.Committing &&
    edit.sentAt !== undefined;
  const refusal = edit.isUncertain || isInFlight
    ? unknownOutcomeRefusal()
    : refuse(RefusalReason.StoreUnavailable, {
      message: "The configuration could not be written in time",
    });
  finish(edit, err(refusal), update);
}

function finish(edit: PendingEdit, result: EditResult, update: Update): void {
  update.write(EDITOR).edits.delete(edit.id);
  reply(edit.request, result, update);
}

function reply(request: EditRequest, result: EditResult, update: Update): void {
  const { replyTo } = request;
  update.dispatch(replyTo.command, createEffectReply(replyTo, result));
}

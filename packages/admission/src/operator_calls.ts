import { COLLECT_BURN } from "@mustardweir/burn";
import {
  CONFIGURATION,
  EDIT_CONFIGURATION,
  type EditResult,
} from "@mustardweir/configuration";
import {
  CommandPriority,
  createCommand,
  type Kernel,
  mergeUndo,
  type Undo,
  type Update,
} from "@mustardweir/kernel";
import { Outcome, type Refusal } from "@mustardweir/model";
import {
  type BurnReport,
  CallerAnswerKind,
  type CallerCall,
  type CallerCallKind,
  type CallerRequest,
  type EffectReply,
  logChange,
  replyTo,
} from "@mustardweir/protocol";
import {
  ADMISSION,
  answerCaller,
  type AuditedEdit,
  refuseCaller,
} from "./admission_state.ts";
import { describeEdit } from "./audit.ts";
import type { CallerIdentity } from "./key_ring.ts";

type EditCall = Extract<
  CallerCall,
  { kind: CallerCallKind.EditConfiguration }
>;

const BURN_COLLECTED = createCommand<EffectReply<string, BurnReport>>(
  "admission-burn-collected",
);

const EDIT_ANSWERED = createCommand<EffectReply<string, EditResult>>(
  "admission-edit-answered",
);

/** Registers the handlers of the results that the calls below wait for. */
export function registerOperatorCalls(kernel: Kernel): Undo {
  const { Normal } = CommandPriority;
  return mergeUndo(
    kernel.registerCommand(EDIT_ANSWERED, onEditAnswered, Normal),
    kernel.registerCommand(BURN_COLLECTED, onBurnCollected, Normal),
  );
}

/** Answers with the configuration in force. */
export function readConfiguration(requestId: string, update: Update): void {
  const configuration = update.read(CONFIGURATION).current;
  const kind = CallerAnswerKind.Configuration;
  answerCaller(requestId, { kind, configuration }, update);
}

/** Starts a burn report; for a submitter it covers its own team only. */
export function collectBurn(
  requestId: string,
  { team }: CallerIdentity,
  update: Update,
): void {
  update.write(ADMISSION).reports.add(requestId);
  update.dispatch(COLLECT_BURN, {
    team,
    replyTo: replyTo(BURN_COLLECTED, requestId),
  });
}

/** Starts an edit, which is logged if it took or may have taken effect. */
export function editConfiguration(
  { requestId, ttlMs, wallMs }: CallerRequest,
  { caller, call }: {
    readonly caller: CallerIdentity;
    readonly call: EditCall;
  },
  update: Update,
): void {
  const { section, body, ifMatch } = call;
  update.write(ADMISSION).edits.set(requestId, {
    keyId: caller.keyId,
    section,
    change: describeEdit(section, body),
  });
  update.dispatch(EDIT_CONFIGURATION, {
    section,
    body,
    ifMatch,
    ttlMs,
    wallMs,
    replyTo: replyTo(EDIT_ANSWERED, requestId),
  });
}

function onBurnCollected(
  { context: requestId, result: report }: EffectReply<string, BurnReport>,
  update: Update,
): void {
  update.write(ADMISSION).reports.delete(requestId);
  answerCaller(requestId, { kind: CallerAnswerKind.Burn, report }, update);
}

function onEditAnswered(
  { context: requestId, result }: EffectReply<string, EditResult>,
  update: Update,
): void {
  const { edits } = update.write(ADMISSION);
  const edit = edits.get(requestId);
  edits.delete(requestId);
  if (edit !== undefined) {
    logEdit(edit, result, update);
  }
  result.match(
    (version) =>
      answerCaller(
        requestId,
        { kind: CallerAnswerKind.Edited, version },
        update,
      ),
    (refusal) => refuseCaller(requestId, refusal, update),
  );
}

/** Logs an edit that took effect or may have taken effect. */
function logEdit(
  edit: AuditedEdit,
  result: EditResult,
  update: Update,
): void {
  result.match(
    (version) =>
      update.emit(
        logChange("Operator edited configuration", { ...edit, version }),
      ),
    ({ outcome }: Refusal) => {
      if (outcome === Outcome.Unknown) {
        const message = "Operator's edit may be in force";
        update.emit(logChange(message, { ...edit }));
      }
    },
  );
}

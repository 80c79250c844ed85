/** Mutants of the answers to callers and operators. */
import { ADMISSION } from "@mustardweir/admission";
import {
  CONFIGURATION_CHANGED,
  CONFIGURATION_ROW,
} from "@mustardweir/configuration";
import { HOMES } from "@mustardweir/home";
import { createCommand, Role } from "@mustardweir/kernel";
import { Outcome, RefusalReason } from "@mustardweir/model";
import {
  CallerAnswerKind,
  type CallerRequest,
  type CommitResult,
  EffectKind,
  type EffectReply,
  HomeReplyKind,
  nodeEffect,
  PeerMessageKind,
  replyTo,
  type ScanResult,
  STOP_REQUESTED,
  StopMode,
  StoreStatus,
  type SyncResult,
} from "@mustardweir/protocol";
import { SLICES } from "@mustardweir/slice";
import { UNKNOWN_CALLER } from "../commands.ts";
import { keyHash, teamKeyId, TEAMS } from "../fleet.ts";
import { Point } from "../point.ts";
import type { SimulatedNode } from "../simulation/node.ts";
import { Tampering } from "../simulation/tampering.ts";
import {
  EffectMutant,
  EventMutant,
  HandlerMutant,
  MessageMutant,
  type Mutant,
  StateMutant,
} from "./mutant_test.ts";

const CALLER_REQUESTED_NAME = "caller-requested";

const IGNORED = createCommand<EffectReply<undefined, SyncResult>>("ignored");

/** Assigns each reply of a home to the oldest pending call. */
function answerOldest(): Tampering {
  return new MessageMutant((message, node) => {
    if (message.kind !== PeerMessageKind.HomeReply) {
      return message;
    }
    const [oldest] = node.kernel.read(ADMISSION).pending.keys();
    return { ...message, callId: oldest ?? message.callId };
  });
}

/** Replaces the answer of each request by that of the previous one. */
function answerWithLast(): Tampering {
  let last: string | undefined;
  return new EffectMutant(EffectKind.SendPeer, (effect) => {
    const { message } = effect;
    const isAnswer = message.kind === PeerMessageKind.HomeReply &&
      message.reply.kind === HomeReplyKind.Status &&
      message.reply.status.answer !== undefined;
    if (!isAnswer) {
      return [effect];
    }
    const { status } = message.reply;
    const answer = last ?? status.answer;
    last = status.answer;
    const reply = { ...message.reply, status: { ...status, answer } };
    return [{ ...effect, message: { ...message, reply } }];
  });
}

/** Stops all tasks of a scheduler's slices when the scheduler stops. */
function cancelOnStop(): Tampering {
  return new HandlerMutant(Role.Scheduler, STOP_REQUESTED, (_stop, update) => {
    for (const slice of update.read(SLICES).slices.values()) {
      const { sliceId, epoch } = slice;
      for (const { instanceId, address, tasks } of slice.workers.values()) {
        const stops = [...tasks].map(({ task }) => ({
          taskId: task.taskId,
          mode: StopMode.Cancel,
        }));
        update.emit(nodeEffect({
          kind: EffectKind.SyncTarget,
          instanceId,
          address,
          call: {
            sliceId,
            epoch: epoch + 1,
            floor: 0,
            starts: [],
            stops,
            throttles: [],
            acks: stops.map(({ taskId }) => taskId),
            waitMs: 0,
          },
          timeoutMs: 1_000,
          replyTo: replyTo(IGNORED, undefined),
        }));
      }
    }
  });
}

export const ANSWER_MUTANTS: readonly Mutant[] = [
  {
    name: "unknown keys accepted as those of a team",
    point: Point.TeamKey,
    create: () =>
      new EventMutant<CallerRequest>(CALLER_REQUESTED_NAME, (request) => {
        const isStranger = request.keyHash === keyHash(UNKNOWN_CALLER);
        const hash = keyHash(teamKeyId(TEAMS[0], 0));
        return isStranger ? { ...request, keyHash: hash } : request;
      }),
  },
  {
    name: "team taken from the job instead of the key",
    point: Point.TeamKey,
    create: () =>
      new EventMutant<CallerRequest>(CALLER_REQUESTED_NAME, (request) => {
        const { call } = request;
        const team = "jobId" in call
          ? TEAMS.find((name) => call.jobId.startsWith(`${name}.`))
          : undefined;
        return team === undefined
          ? request
          : { ...request, keyHash: keyHash(teamKeyId(team, 0)) };
      }),
  },
  {
    name: "keys of entries never refreshed",
    point: Point.KeyWithdrawal,
    create: () =>
      new HandlerMutant(
        Role.Entry,
        CONFIGURATION_CHANGED,
        ({ previous }) => previous.version > 0,
      ),
  },
  {
    name: "withdrawn keys kept with the others",
    point: Point.KeyWithdrawal,
    create: () =>
      new HandlerMutant(
        Role.Entry,
        CONFIGURATION_CHANGED,
        ({ current, previous }) => {
          const ids = new Set(current.keys.map(({ id }) => id));
          const old = previous.keys.filter(({ id }) => !ids.has(id));
          Object.assign(current, { keys: [...current.keys, ...old] });
        },
      ),
  },
  {
    name: "replies matched to calls by order",
    point: Point.OwnAnswer,
    create: answerOldest,
  },
  {
    name: "answer of another request reported",
    point: Point.OwnAnswer,
    create: answerWithLast,
  },
  {
    name: "new homes don't announce their epoch",
    point: Point.OwnAnswer,
    create: () =>
      new EffectMutant(
        EffectKind.SendPeer,
        (effect) =>
          effect.message.kind === PeerMessageKind.FenceHome ? [] : [effect],
      ),
  },
  {
    name: "calls without a reply reported as not run",
    point: Point.TrueRefusal,
    create: () =>
      new EffectMutant(EffectKind.AnswerCaller, (effect) => {
        const { answer } = effect;
        const isLate = answer.kind === CallerAnswerKind.Refused &&
          answer.refusal.reason === RefusalReason.DeadlinePassed;
        if (!isLate) {
          return [effect];
        }
        const refusal = { ...answer.refusal, outcome: Outcome.NotRun };
        return [{ ...effect, answer: { ...answer, refusal } }];
      }),
  },
  {
    name: "starts ignored when the outcome is reported",
    point: Point.TrueRefusal,
    create: () =>
      new StateMutant(Role.Scheduler, (update) => {
        for (const home of update.write(HOMES).homes.values()) {
          for (const job of home.jobs.values()) {
            job.firstStartAt = undefined;
            job.mayHaveRun = false;
          }
        }
      }),
  },
  {
    name: "entries stop without answering pending calls",
    point: Point.GracefulStop,
    create: () =>
      new HandlerMutant(Role.Entry, STOP_REQUESTED, (_stop, update) => {
        update.emit(nodeEffect({ kind: EffectKind.Stopped }));
        return true;
      }),
  },
  {
    name: "pending calls dropped by a stop",
    point: Point.GracefulStop,
    create: () =>
      new HandlerMutant(Role.Entry, STOP_REQUESTED, (_stop, update) => {
        update.write(ADMISSION).pending.clear();
      }),
  },
  {
    name: "tasks stopped with their scheduler",
    point: Point.GracefulStop,
    create: cancelOnStop,
  },
  {
    name: "changes of the configuration's row skipped",
    point: Point.ConfigurationInForce,
    create: () => {
      const loaded = new Set<SimulatedNode>();
      return new EventMutant<{ readonly result: ScanResult }>(
        "configuration-scanned",
        (answer, node) => {
          const { result } = answer;
          const isFirst = !loaded.has(node);
          if (result.status !== StoreStatus.Ok || isFirst) {
            loaded.add(node);
            return answer;
          }
          const page = { ...result.page, rows: [] };
          return { ...answer, result: { ...result, page } };
        },
      );
    },
  },
  {
    name: "edits of unknown outcome reported as accepted",
    point: Point.ConfigurationInForce,
    create: () =>
      new EventMutant<{ readonly result: CommitResult }>(
        "configuration-edit-committed",
        (answer) =>
          answer.result.status === StoreStatus.Unknown
            ? { ...answer, result: { status: StoreStatus.Ok, revision: 0 } }
            : answer,
      ),
  },
  {
    name: "edits written without a check of the version",
    point: Point.ConfigurationInForce,
    create: () =>
      new EffectMutant(EffectKind.CommitTable, (effect) => {
        const { transaction } = effect;
        const isEdit = transaction.puts.some(({ key }) =>
          key === CONFIGURATION_ROW
        );
        return [
          isEdit
            ? { ...effect, transaction: { ...transaction, checks: [] } }
            : effect,
        ];
      }),
  },
];

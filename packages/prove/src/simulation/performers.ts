import {
  createEffectReply,
  EffectKind,
  type NodeEffect,
  type ReplyTo,
} from "@mustardweir/protocol";
import type { Cluster } from "./cluster.ts";
import type { SimulatedNode } from "./node.ts";

/** Performs an effect of one kind. */
export type Perform<Kind> = (
  cluster: Cluster,
  from: SimulatedNode,
  effect: Kind,
) => void;

type Performers = {
  readonly [Kind in EffectKind]: Perform<Extract<NodeEffect, { kind: Kind }>>;
};

function ignore(): void {}

/** How the simulation performs each kind of effect of a node. */
export const PERFORMERS: Performers = {
  [EffectKind.SendPeer]: (cluster, from, { to, message }) =>
    cluster.sendPeer(from, to, message),
  [EffectKind.SyncTarget]: (cluster, from, effect) =>
    cluster.syncTarget(from, effect),
  [EffectKind.ScanTable]: ({ store }, from, effect) =>
    store.scan(
      effect,
      from.nodeId,
      (result) => reply(from, effect.replyTo, result),
    ),
  [EffectKind.CommitTable]: ({ store }, from, { transaction, replyTo }) =>
    store.commit(
      transaction,
      from.nodeId,
      (result) => reply(from, replyTo, result),
    ),
  [EffectKind.GetObject]: ({ store }, from, { key, replyTo }) =>
    store.getObject(key, from.nodeId, (result) => reply(from, replyTo, result)),
  [EffectKind.PutObject]: ({ store }, from, { key, body, replyTo }) =>
    store.putObject(
      { key, body },
      from.nodeId,
      (result) => reply(from, replyTo, result),
    ),
  [EffectKind.ListInstances]: ({ store }, from, { replyTo }) =>
    store.listInstances(from.nodeId, (result) => reply(from, replyTo, result)),
  [EffectKind.AnswerCaller]: ({ history, now }, _from, effect) => {
    const { requestId, answer } = effect;
    history.calls.get(requestId)?.answers.push({ at: now, answer });
  },
  [EffectKind.Stopped]: (cluster, from) => cluster.recordStopped(from),
  [EffectKind.ConnectPeers]: ignore,
  [EffectKind.Count]: ignore,
  [EffectKind.Observe]: ignore,
  [EffectKind.Gauge]: ignore,
  [EffectKind.LogChange]: ignore,
  // Only combined nodes emit these; DomainCluster simulates them.
  [EffectKind.CommitRecords]: ignore,
  [EffectKind.ReadSource]: ignore,
  [EffectKind.FollowSource]: ignore,
  [EffectKind.OrderWorker]: ignore,
  [EffectKind.AskPermits]: ignore,
  [EffectKind.AnswerFront]: ignore,
};

/** Posts the result of an effect to the command that it names. */
export function reply<Result>(
  node: SimulatedNode,
  replyTo: ReplyTo<Result>,
  result: Result,
): void {
  node.post(replyTo.command, createEffectReply(replyTo, result));
}

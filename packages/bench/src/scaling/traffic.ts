import type { Commit } from "@mustardweir/kernel";
import {
  ALL_PEERS,
  EffectKind,
  type NodeEffect,
  PeerMessageKind,
} from "@mustardweir/protocol";
import type { Loopback } from "../loopback/loopback.ts";

/** Bytes and messages sent by all schedulers together, by purpose. */
export interface Traffic {
  heartbeatBytes: number;
  heartbeats: number;
  peerBytes: number;
  peerMessages: number;
  /** Size of the bodies of calls to workers. */
  workerCallBytes: number;
  workerCalls: number;
  /** Size of the bodies of the workers' replies. */
  workerReplyBytes: number;
  tableReads: number;
  tableWrites: number;
  tableWriteBytes: number;
  /** Size of the largest value written. */
  largestRowBytes: number;
}

/** Counts the messages, calls, reads and writes while `action` runs. */
export function countTraffic(loopback: Loopback, action: () => void): Traffic {
  const traffic = createTraffic();
  const peers = loopback.kernels.size - 1;
  const undo = [...loopback.kernels.values()].map((kernel) =>
    kernel.registerListener((commit) => countCommit(traffic, commit, peers))
  );
  const undoReplyCount = countWorkerReplies(loopback, traffic);
  action();
  undo.forEach((stop) => stop());
  undoReplyCount();
  return traffic;
}

function createTraffic(): Traffic {
  return {
    heartbeatBytes: 0,
    heartbeats: 0,
    peerBytes: 0,
    peerMessages: 0,
    workerCallBytes: 0,
    workerCalls: 0,
    workerReplyBytes: 0,
    tableReads: 0,
    tableWrites: 0,
    tableWriteBytes: 0,
    largestRowBytes: 0,
  };
}

function countCommit(traffic: Traffic, commit: Commit, peers: number): void {
  for (const effect of commit.effects as readonly NodeEffect[]) {
    countEffect(traffic, effect, peers);
  }
}

function countEffect(
  traffic: Traffic,
  effect: NodeEffect,
  peers: number,
): void {
  switch (effect.kind) {
    case EffectKind.SendPeer: {
      const receivers = effect.to === ALL_PEERS ? peers : 1;
      const bytes = receivers * sizeOf(effect.message);
      if (effect.message.kind === PeerMessageKind.Heartbeat) {
        traffic.heartbeats += receivers;
        traffic.heartbeatBytes += bytes;
      } else {
        traffic.peerMessages += receivers;
        traffic.peerBytes += bytes;
      }
      break;
    }
    case EffectKind.SyncTarget:
      traffic.workerCalls += 1;
      traffic.workerCallBytes += sizeOf(effect.call);
      break;
    case EffectKind.ScanTable:
      traffic.tableReads += 1;
      break;
    case EffectKind.CommitTable:
      traffic.tableWrites += 1;
      traffic.tableWriteBytes += sizeOf(effect.transaction);
      traffic.largestRowBytes = Math.max(
        traffic.largestRowBytes,
        ...effect.transaction.puts.map(({ value }) => Buffer.byteLength(value)),
      );
      break;
    default:
      break;
  }
}

function countWorkerReplies(loopback: Loopback, traffic: Traffic): () => void {
  const undo = [...loopback.workers.values()].map((worker) => {
    const { sync } = worker;
    worker.sync = (call, respond) =>
      sync.call(worker, call, (result) => {
        traffic.workerReplyBytes += sizeOf(result);
        respond(result);
      });
    return () => {
      worker.sync = sync;
    };
  });
  return () => undo.forEach((restore) => restore());
}

function sizeOf(message: object): number {
  return Buffer.byteLength(JSON.stringify(message));
}

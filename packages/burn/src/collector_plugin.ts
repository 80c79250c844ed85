import { CONFIGURATION } from "@mustardweir/configuration";
import {
  CommandPriority,
  createCommand,
  createStateKey,
  type Kernel,
  mergeUndo,
  Plugin,
  registerPlugin,
  Role,
  type Undo,
  type Update,
} from "@mustardweir/kernel";
import { alivePeers, PEERS } from "@mustardweir/membership";
import {
  type BurnRecord,
  type BurnReport,
  count,
  createEffectReply,
  NODE_IDENTITY,
  PEER_MESSAGE_RECEIVED,
  PeerMessageKind,
  type ReplyTo,
  sendPeer,
} from "@mustardweir/protocol";
import { findGaps } from "./coverage.ts";
import { hasReadableHistograms, mergeRecords } from "./merge.ts";
import { BUDGET_WINDOW, WINDOWS } from "./windows.ts";

/** Longest wait for the schedulers' records, in milliseconds. */
export const COLLECT_TIMEOUT_MS = 2_000;

/** Shortest time between the starts of two collections, in milliseconds. */
const MIN_COLLECTION_INTERVAL_MS = 1_000;

/**
 * Interval of the check for collections that timed out or are due, in
 * milliseconds.
 */
const PENDING_CHECK_INTERVAL_MS = 100;

/** Requests the record of every scheduler and replies with a report. */
export const COLLECT_BURN = createCommand<CollectRequest>("collect-burn");

/** The team to report on, and the command that receives the report. */
export interface CollectRequest {
  /** Restricts the report to this team; all teams by default. */
  readonly team?: string;
  readonly replyTo: ReplyTo<BurnReport>;
}

/**
 * One collection of records from all schedulers. Requests that arrive while
 * it runs share its result.
 */
interface Collection {
  readonly requestId: string;
  readonly expiresAt: number;
  readonly requests: CollectRequest[];
  /** Schedulers whose record has not arrived. */
  readonly awaited: Set<string>;
  readonly records: Map<string, BurnRecord>;
}

interface CollectorState {
  nextId: number;
  /** The time from which the next collection may start. */
  nextCollectionAt: number;
  /** Requests that wait for the next collection. */
  waiting: CollectRequest[];
  collection?: Collection;
}

const COLLECTOR = createStateKey<CollectorState>("burn-collector");

/** Creates burn reports on an entry node. */
export class BurnCollectorPlugin extends Plugin {
  override readonly name = "burn-collector";

  override register(kernel: Kernel): Undo {
    const { Normal } = CommandPriority;
    return mergeUndo(
      kernel.registerState(COLLECTOR, {
        nextId: 1,
        nextCollectionAt: -Infinity,
        waiting: [],
      }),
      kernel.registerCommand(COLLECT_BURN, onCollect, Normal),
      kernel.registerCommand(
        PEER_MESSAGE_RECEIVED,
        ({ from, message }, update) => {
          if (message.kind === PeerMessageKind.BurnRecord) {
            onRecord(update, from, message);
          }
        },
        Normal,
      ),
      kernel.registerPeriodic({
        intervalMs: PENDING_CHECK_INTERVAL_MS,
        run: advance,
      }),
    );
  }
}

registerPlugin({
  name: "burn-collector",
  roles: [Role.Entry],
  create: () => new BurnCollectorPlugin(),
});

function onCollect(request: CollectRequest, update: Update): void {
  const state = update.write(COLLECTOR);
  if (state.collection !== undefined) {
    state.collection.requests.push(request);
    return;
  }
  state.waiting.push(request);
  startIfDue(update);
}

/**
 * Starts a collection if requests wait and the minimum interval has passed,
 * which limits the load on the schedulers.
 */
function startIfDue(update: Update): void {
  const state = update.write(COLLECTOR);
  if (state.waiting.length === 0 || update.now < state.nextCollectionAt) {
    return;
  }
  state.nextCollectionAt = update.now + MIN_COLLECTION_INTERVAL_MS;
  const { nodeId, incarnation } = update.service(NODE_IDENTITY);
  const requestId = `${nodeId}/${incarnation}/${state.nextId++}`;
  const alive = alivePeers(update.read(PEERS), update.now);
  state.collection = {
    requestId,
    expiresAt: update.now + COLLECT_TIMEOUT_MS,
    requests: state.waiting.splice(0),
    awaited: new Set(alive.map(({ heartbeat }) => heartbeat.nodeId)),
    records: new Map(),
  };
  for (const to of state.collection.awaited) {
    const kind = PeerMessageKind.BurnRequest;
    update.emit(sendPeer(to, { kind, requestId }));
  }
  finishIfComplete(update);
}

function onRecord(update: Update, from: string, record: BurnRecord): void {
  const { collection } = update.write(COLLECTOR);
  if (collection?.requestId !== record.requestId) {
    return;
  }
  if (!hasReadableHistograms(record)) {
    update.emit(count("burn_records_unreadable"));
    return;
  }
  if (collection.awaited.delete(from)) {
    collection.records.set(from, record);
  }
  finishIfComplete(update);
}

function advance(update: Update): void {
  const { collection } = update.read(COLLECTOR);
  if (collection !== undefined && update.now >= collection.expiresAt) {
    finish(update, collection);
  } else if (collection === undefined) {
    startIfDue(update);
  }
}

function finishIfComplete(update: Update): void {
  const { collection } = update.read(COLLECTOR);
  if (collection?.awaited.size === 0) {
    finish(update, collection);
  }
}

function finish(update: Update, collection: Collection): void {
  update.write(COLLECTOR).collection = undefined;
  for (const { team, replyTo } of collection.requests) {
    const report = composeReport(update, collection, team);
    update.dispatch(replyTo.command, createEffectReply(replyTo, report));
  }
}

function composeReport(
  update: Update,
  { records }: Collection,
  team: string | undefined,
): BurnReport {
  const { rules } = update.read(CONFIGURATION).current;
  const received = [...records.values()];
  const spans = received.flatMap((record) => record.spans);
  const { lengthMs } = WINDOWS[BUDGET_WINDOW];
  const teams = rules.teams.map(({ name }) => name)
    .filter((name) => team === undefined || name === team);
  return {
    series: mergeRecords({ records: received, rules, team }),
    schedulers: [...records.keys()].sort(),
    silent: [...update.read(PEERS).views.values()]
      .filter(({ heartbeat }) => !records.has(heartbeat.nodeId))
      .map(({ heartbeat, receivedAt }) => ({
        nodeId: heartbeat.nodeId,
        silentMs: Math.round(update.now - receivedAt),
      }))
      .filter(({ silentMs }) => silentMs < lengthMs),
    gaps: teams.flatMap((name) => findGaps(name, { spans, lengthMs })),
  };
}

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
import { isReadable, mergeRecords } from "./merge.ts";
import { BUDGET_WINDOW, WINDOWS } from "./windows.ts";

/** Longest wait for the records of the schedulers, in milliseconds. */
export const COLLECT_TIMEOUT_MS = 2_000;

/** Least time between two rounds of asking, in milliseconds. */
const MIN_PAUSE_MS = 1_000;

/** Time between looks at collections that took too long, in milliseconds. */
const DRIVE_INTERVAL_MS = 100;

/** Asks every scheduler for its record and answers with a report. */
export const COLLECT_BURN = createCommand<CollectRequest>("collect-burn");

/** Whose work is reported, and where the report goes. */
export interface CollectRequest {
  /** Only this team's work; all by default. */
  readonly team?: string;
  readonly replyTo: ReplyTo<BurnReport>;
}

/** A round of asking; requests that come meanwhile share it. */
interface Collection {
  readonly requestId: string;
  readonly expiresAt: number;
  readonly requests: CollectRequest[];
  /** Schedulers that have not answered. */
  readonly awaited: Set<string>;
  readonly records: Map<string, BurnRecord>;
}

interface CollectorState {
  nextId: number;
  /** When the schedulers may be asked again. */
  nextAt: number;
  /** Requests that wait for the next round. */
  waiting: CollectRequest[];
  collection?: Collection;
}

const COLLECTOR = createStateKey<CollectorState>("burn-collector");

/** Makes burn reports at an entry. */
export class BurnCollectorPlugin extends Plugin {
  override readonly name = "burn-collector";

  override register(kernel: Kernel): Undo {
    const { Normal } = CommandPriority;
    return mergeUndo(
      kernel.registerState(COLLECTOR, {
        nextId: 1,
        nextAt: -Infinity,
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
      kernel.registerPeriodic({ intervalMs: DRIVE_INTERVAL_MS, run: drive }),
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
  startWhenDue(update);
}

/** Asks the schedulers, which is not done more often than they can bear. */
function startWhenDue(update: Update): void {
  const state = update.write(COLLECTOR);
  if (state.waiting.length === 0 || update.now < state.nextAt) {
    return;
  }
  state.nextAt = update.now + MIN_PAUSE_MS;
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
  finishWhenComplete(update);
}

function onRecord(update: Update, from: string, record: BurnRecord): void {
  const { collection } = update.write(COLLECTOR);
  if (collection?.requestId !== record.requestId) {
    return;
  }
  if (!isReadable(record)) {
    update.emit(count("burn_records_unreadable"));
    return;
  }
  if (collection.awaited.delete(from)) {
    collection.records.set(from, record);
  }
  finishWhenComplete(update);
}

function drive(update: Update): void {
  const { collection } = update.read(COLLECTOR);
  if (collection !== undefined && update.now >= collection.expiresAt) {
    finish(update, collection);
  } else if (collection === undefined) {
    startWhenDue(update);
  }
}

function finishWhenComplete(update: Update): void {
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
  const told = [...records.values()];
  const spans = told.flatMap((record) => record.spans);
  const { lengthMs } = WINDOWS[BUDGET_WINDOW];
  const teams = rules.teams.map(({ name }) => name)
    .filter((name) => team === undefined || name === team);
  return {
    series: mergeRecords({ records: told, rules, team }),
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

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
import { NO_RESOURCES, type WorkerInfo, WorkerState } from "@mustardweir/model";
import { GAUGE_INTERVAL_MS, logChange } from "@mustardweir/protocol";
import {
  type ClosedRecord,
  FOLLOWER_INTERVAL_MS,
  isFollower,
  NODES_CHANGED,
  recordKey,
  RecordKind,
  REPLICA,
  type SessionRecord,
  storeNow,
  WORKER_CHANGED,
} from "@mustardweir/replica";
import {
  CHANGES_DURABLE,
  isOwner,
  isSoleOwner,
  loseTenure,
  queueChange,
  TENURE,
  TENURE_GAINED,
  TENURE_LOST,
} from "@mustardweir/tenure";
import { isOtherIncarnation } from "./incarnations.ts";
import {
  formerLeasesEndMs,
  inheritedLeaseEndMs,
  mayGrantLeases,
} from "./leases.ts";
import { handleOrderResult, ORDER_ANSWERED, OWNER_FENCED } from "./orders.ts";
import { recordIdle, recordSession } from "./listings.ts";
import {
  emitRenewalGauges,
  giveUpExpiredAttempts,
  handleRenewalResult,
  RENEWAL_ANSWERED,
  renewIfDue,
} from "./renewals.ts";
import { EndRate } from "./renewal_pacing.ts";
import { markChanged, type Session, SESSIONS } from "./session_state.ts";

/** Interval at which renewals and leases are checked, in milliseconds. */
const CHECK_INTERVAL_MS = 20;
/**
 * Number of renewals in a row without a reply after which an empty worker is
 * recorded as idle.
 */
const MIN_MISSES_FOR_IDLE = 2;
/**
 * Time after its last reply after which a worker that has left is removed, in
 * milliseconds.
 */
const DEPARTED_RETENTION_MS = 15_000;

/** Grants leases to all workers while this node owns the domain. */
export class SessionsPlugin extends Plugin {
  override readonly name = "sessions";

  override register(kernel: Kernel): Undo {
    const { High, Normal } = CommandPriority;
    return mergeUndo(
      kernel.registerState(SESSIONS, {
        epoch: 0,
        isActive: false,
        firstRound: 1,
        lastRenewalId: 0,
        endRate: new EndRate(),
        byWorker: new Map(),
        inherited: new Set(),
        changed: new Set(),
      }),
      kernel.registerCommand(
        TENURE_GAINED,
        ({ epoch }, update) => openSessions(update, epoch),
        High,
      ),
      kernel.registerCommand(
        TENURE_LOST,
        (_, update) => closeSessions(update),
        Normal,
      ),
      kernel.registerCommand(
        WORKER_CHANGED,
        ({ workerId }, update) => handleWorkerChange(update, workerId),
        High,
      ),
      kernel.registerCommand(
        NODES_CHANGED,
        (_, update) => shortenInheritedLeases(update),
        Normal,
      ),
      kernel.registerCommand(
        ORDER_ANSWERED,
        (reply, update) => handleOrderResult(update, reply),
        Normal,
      ),
      kernel.registerCommand(
        OWNER_FENCED,
        ({ workerId }, update) => handleOwnerFenced(update, workerId),
        Normal,
      ),
      kernel.registerCommand(
        RENEWAL_ANSWERED,
        (reply, update) => handleRenewalResult(update, reply),
        Normal,
      ),
      kernel.registerCommand(
        CHANGES_DURABLE,
        ({ upToTicket }, update) => markRecorded(update, upToTicket),
        Normal,
      ),
      kernel.registerPeriodic({
        intervalMs: CHECK_INTERVAL_MS,
        run: checkSessions,
        isIdle: isFollower,
        idleIntervalMs: FOLLOWER_INTERVAL_MS,
      }),
      kernel.registerPeriodic({
        intervalMs: GAUGE_INTERVAL_MS,
        run: emitRenewalGauges,
      }),
    );
  }
}

function openSessions(update: Update, epoch: number): void {
  const sessions = update.write(SESSIONS);
  sessions.epoch = epoch;
  sessions.isActive = true;
  sessions.firstRound = 1;
  sessions.endRate = new EndRate();
  sessions.byWorker.clear();
  sessions.inherited.clear();
  const { workers, departed, sessions: records, unreadableSessions } = update
    .read(REPLICA);
  const atTakeover = { isTakeover: true };
  for (const info of workers.values()) {
    openSession(update, info, atTakeover);
  }
  for (const { info } of departed.values()) {
    openSession(update, info, { ...atTakeover, isRegistered: false });
  }
  for (const id of [...records.keys(), ...unreadableSessions]) {
    if (!sessions.byWorker.has(id)) {
      openSession(update, unregisteredWorker(id, records.get(id)), {
        ...atTakeover,
        isRegistered: false,
      });
    }
  }
  update.emit(logChange("Sessions opened", {
    workers: sessions.byWorker.size,
    inherited: sessions.inherited.size,
    formerLeasesForMs: Math.round(formerLeasesEndMs(update) - update.now),
  }));
}

/**
 * Waits no longer for the leases of a former owner than they can last, once its
 * process is known to have ended.
 */
function shortenInheritedLeases(update: Update): void {
  const { isActive, byWorker } = update.write(SESSIONS);
  if (!isActive) {
    return;
  }
  for (const session of byWorker.values()) {
    session.inheritedLeaseEndMs = Math.min(
      session.inheritedLeaseEndMs,
      inheritedLeaseEndMs(update, session),
    );
  }
}

/**
 * Gives the tenure up because a worker reports a newer owner, even if the store
 * still names this node.
 */
function handleOwnerFenced(update: Update, workerId: string): void {
  if (isOwner(update)) {
    loseTenure(update, `worker ${workerId} knows a newer owner`);
  }
}

function closeSessions(update: Update): void {
  const sessions = update.write(SESSIONS);
  sessions.isActive = false;
  sessions.byWorker.clear();
  sessions.inherited.clear();
  sessions.changed.clear();
}

/**
 * Returns a placeholder for a worker that is known only from a predecessor's
 * session record; without address and pool if that can't be read.
 */
function unregisteredWorker(
  id: string,
  { address = "", pool = "" }: Partial<SessionRecord> = {},
): WorkerInfo {
  return {
    id,
    address,
    incarnation: 0,
    pool,
    zone: "",
    state: WorkerState.Draining,
    capacity: NO_RESOURCES,
    labels: [],
    rack: "",
  };
}

function openSession(
  update: Update,
  info: WorkerInfo,
  { isRegistered = true, isTakeover = false }: {
    readonly isRegistered?: boolean;
    /** Whether the record is a predecessor's, if there is one. */
    readonly isTakeover?: boolean;
  } = {},
): void {
  const { sessions, unreadableSessions, closed: marks } = update.read(REPLICA);
  const record = sessions.get(info.id);
  const closed = marks.get(info.id);
  const recorded = record?.recorded ?? 0;
  // Later, a record that is still there is about to be removed by this owner.
  const mayHaveAttempts = isTakeover &&
    (record?.isIdle === false || unreadableSessions.has(info.id));
  const longLeaseEndMs = update.now - storeNow(update) +
    (record?.longLeaseUntilMs ?? -Infinity);
  const incarnation = record?.incarnation ?? 0;
  const isReborn = mayHaveAttempts &&
    isOtherIncarnation(incarnation, info.incarnation);
  markChanged(update, info.id);
  if (mayHaveAttempts) {
    update.write(SESSIONS).inherited.add(info.id);
  }
  update.write(SESSIONS).byWorker.set(info.id, {
    info,
    isRegistered,
    isInherited: mayHaveAttempts,
    isReborn,
    isListingDue: false,
    isPartial: false,
    incarnation,
    round: update.read(SESSIONS).firstRound,
    invalidatingToken: 0,
    restartToken: 0,
    acknowledgingToken: 0,
    isReconciled: false,
    clock: undefined,
    leaseUntilMs: 0,
    inheritedLeaseEndMs: mayHaveAttempts
      ? inheritedLeaseEndMs(update, { isReborn, longLeaseEndMs })
      : update.now,
    longLeaseEndMs,
    handled: recorded,
    recorded,
    acknowledged: 0,
    pendingRecords: [],
    ticket: 0,
    isRecorded: mayHaveAttempts,
    isClosed: closed !== undefined,
    reopenTicket: 0,
    inheritedUpTo: closed !== undefined &&
        closed.epoch >= update.read(TENURE).closesSince
      ? closed.version
      : Infinity,
    renewal: 0,
    renewalToken: 0,
    nextRenewalMs: update.now,
    missed: 0,
    answeredMs: update.now,
    heardMs: update.now,
    suspected: [],
    answeredAddress: mayHaveAttempts ? record?.address ?? "" : "",
    attempts: new Map(),
  });
}

function handleWorkerChange(update: Update, workerId: string): void {
  const sessions = update.write(SESSIONS);
  if (!sessions.isActive) {
    return;
  }
  const info = update.read(REPLICA).workers.get(workerId);
  const session = sessions.byWorker.get(workerId);
  if (session === undefined) {
    if (info !== undefined) {
      openSession(update, info);
    }
    return;
  }
  session.isRegistered = info !== undefined;
  markChanged(update, workerId);
  if (info === undefined) {
    return;
  }
  if (
    info.address !== session.info.address ||
    info.incarnation !== session.info.incarnation
  ) {
    session.nextRenewalMs = update.now;
  }
  session.info = info;
  noteRebirth(update, session);
}

/**
 * Waits for the longest lease of an inherited worker that hasn't replied yet and
 * turns out to have registered as another incarnation than the recorded one.
 */
function noteRebirth(update: Update, session: Session): void {
  const { isInherited, clock, incarnation, info } = session;
  if (
    isInherited && clock === undefined &&
    isOtherIncarnation(incarnation, info.incarnation)
  ) {
    session.isReborn = true;
    session.inheritedLeaseEndMs = inheritedLeaseEndMs(update, session);
  }
}

function markRecorded(update: Update, upToTicket: number): void {
  for (const session of update.write(SESSIONS).byWorker.values()) {
    const { pendingRecords, reopenTicket } = session;
    if (reopenTicket !== 0 && reopenTicket <= upToTicket) {
      session.reopenTicket = 0;
      session.isClosed = false;
      markChanged(update, session.info.id);
    }
    while (
      pendingRecords[0] !== undefined && pendingRecords[0].ticket <= upToTicket
    ) {
      const { number } = pendingRecords.shift()!;
      session.recorded = Math.max(session.recorded, number);
      if (!session.isRecorded) {
        session.isRecorded = true;
        markChanged(update, session.info.id);
      }
    }
  }
}

function checkSessions(update: Update): void {
  if (!isOwner(update)) {
    return;
  }
  const mayExtend = mayGrantLeases(update);
  // Another owner may have renewed leases that are over as far as this one
  // knows.
  const mayGiveUp = isSoleOwner(update);
  for (const [id, session] of [...update.read(SESSIONS).byWorker]) {
    if (mayGiveUp) {
      giveUpExpiredAttempts(update, session);
    }
    renewIfDue(update, session, mayExtend);
    if (session.isRecorded) {
      recordOutOfUse(update, session);
    } else if (session.ticket === 0 && acceptsTasks(session)) {
      recordIfKnown(update, session);
    }
    if (canReopen(session)) {
      session.reopenTicket = queueChange(
        update,
        recordKey(RecordKind.Closed, id),
        undefined,
      );
    }
    if (canRemove(session, update.now)) {
      removeSession(update, session);
    }
  }
}

function removeSession(update: Update, { info: { id }, round }: Session): void {
  const sessions = update.write(SESSIONS);
  sessions.byWorker.delete(id);
  sessions.firstRound = Math.max(sessions.firstRound, round + 1);
  markChanged(update, id);
  queueChange(update, recordKey(RecordKind.Session, id), undefined);
  queueChange(update, recordKey(RecordKind.Closed, id), undefined);
  update.emit(logChange("Worker forgotten", { worker: id }));
}

/**
 * Records the session as soon as the worker has told its incarnation; no task is
 * started there before. A successor must know every worker that ever got a task,
 * and in which incarnation.
 */
function recordIfKnown(update: Update, session: Session): void {
  const hasReplied = session.clock !== undefined;
  if (session.incarnation !== 0 || (session.isReconciled && hasReplied)) {
    recordSession(update, session);
  }
}

/**
 * Records that a worker that is silent or out of use is idle, so that a
 * successor need not wait for it, or that it is closed if tasks may run there,
 * so that only jobs wait that were accepted before.
 */
function recordOutOfUse(update: Update, session: Session): void {
  if (session.missed < MIN_MISSES_FOR_IDLE && isInUse(session)) {
    return;
  }
  const isEmpty = session.isReconciled && session.attempts.size === 0 &&
    session.recorded >= session.handled;
  if (isEmpty) {
    recordIdle(update, session);
  } else if (!session.isClosed || session.reopenTicket !== 0) {
    closeSession(update, session);
  }
}

function closeSession(update: Update, session: Session): void {
  session.isClosed = true;
  session.reopenTicket = 0;
  markChanged(update, session.info.id);
  const record: ClosedRecord = { epoch: update.read(SESSIONS).epoch };
  queueChange(
    update,
    recordKey(RecordKind.Closed, session.info.id),
    JSON.stringify(record),
  );
}

function canReopen(session: Readonly<Session>): boolean {
  return session.isClosed && session.reopenTicket === 0 &&
    session.isReconciled && acceptsTasks(session);
}

function acceptsTasks(session: Readonly<Session>): boolean {
  return session.missed === 0 && isInUse(session);
}

function isInUse({ isRegistered, info }: Readonly<Session>): boolean {
  return isRegistered && info.state === WorkerState.Ready;
}

function canRemove(session: Readonly<Session>, now: number): boolean {
  return !session.isRegistered && session.isReconciled &&
    session.attempts.size === 0 && session.missed > 0 &&
    now - session.answeredMs > DEPARTED_RETENTION_MS;
}

registerPlugin({
  name: "sessions",
  roles: [Role.Combined],
  create: () => new SessionsPlugin(),
});

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
import { logChange } from "@mustardweir/protocol";
import {
  recordKey,
  RecordKind,
  REPLICA,
  type SessionRecord,
  WORKER_CHANGED,
} from "@mustardweir/replica";
import {
  CHANGES_DURABLE,
  isOwner,
  loseTenure,
  queueChange,
  TENURE,
  TENURE_GAINED,
  TENURE_LOST,
} from "@mustardweir/tenure";
import { INHERITED_LEASE_MS, UNCONFIRMED_MS } from "./leases.ts";
import { ORDER_ANSWERED, orderAnswered, OWNER_FENCED } from "./orders.ts";
import { recordIdle, recordSession } from "./listings.ts";
import {
  considerLapse,
  considerRenewal,
  RENEWAL_ANSWERED,
  renewalAnswered,
} from "./renewals.ts";
import { type Session, SESSIONS } from "./session_state.ts";

/** How often renewals and lapses are looked at, in milliseconds. */
const TICK_MS = 20;
/** Renewals without an answer after which an empty worker is recorded so. */
const IDLE_MISSES = 2;
/** Workers that left and answer no more are dropped after this. */
const DEPARTED_DROP_MS = 15_000;

/** Holds leases with all workers while this node owns the domain. */
export class SessionsPlugin extends Plugin {
  override readonly name = "sessions";

  override register(kernel: Kernel): Undo {
    const { High, Normal } = CommandPriority;
    return mergeUndo(
      kernel.registerState(SESSIONS, {
        epoch: 0,
        isOpen: false,
        lastRenewal: 0,
        byWorker: new Map(),
      }),
      kernel.registerCommand(
        TENURE_GAINED,
        ({ epoch }, update) => open(update, epoch),
        High,
      ),
      kernel.registerCommand(TENURE_LOST, (_, update) => close(update), Normal),
      kernel.registerCommand(
        WORKER_CHANGED,
        ({ workerId }, update) => workerChanged(update, workerId),
        High,
      ),
      kernel.registerCommand(
        ORDER_ANSWERED,
        (answer, update) => orderAnswered(update, answer),
        Normal,
      ),
      kernel.registerCommand(
        OWNER_FENCED,
        ({ workerId }, update) => fenced(update, workerId),
        Normal,
      ),
      kernel.registerCommand(
        RENEWAL_ANSWERED,
        (answer, update) => renewalAnswered(update, answer),
        Normal,
      ),
      kernel.registerCommand(
        CHANGES_DURABLE,
        ({ upToTicket }, update) => recorded(update, upToTicket),
        Normal,
      ),
      kernel.registerPeriodic({ intervalMs: TICK_MS, run: tick }),
    );
  }
}

function open(update: Update, epoch: number): void {
  const sessions = update.write(SESSIONS);
  sessions.epoch = epoch;
  sessions.isOpen = true;
  sessions.byWorker.clear();
  const { workers, departed, sessions: records } = update.read(REPLICA);
  for (const info of workers.values()) {
    openSession(update, info, true);
  }
  for (const { info } of departed.values()) {
    openSession(update, info, false);
  }
  for (const [id, record] of records) {
    if (!sessions.byWorker.has(id)) {
      openSession(update, unregistered(id, record), false);
    }
  }
}

/** A worker knows a newer owner, whatever the store has told this node. */
function fenced(update: Update, workerId: string): void {
  if (isOwner(update)) {
    loseTenure(update, `worker ${workerId} knows a newer owner`);
  }
}

function close(update: Update): void {
  const sessions = update.write(SESSIONS);
  sessions.isOpen = false;
  sessions.byWorker.clear();
}

/** A worker that is known only from the record of a predecessor's session. */
function unregistered(
  id: string,
  { address, pool }: SessionRecord,
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
  isRegistered: boolean,
): void {
  const record = update.read(REPLICA).sessions.get(info.id);
  const recorded = record?.recorded ?? 0;
  const hasPast = record?.isIdle === false;
  update.write(SESSIONS).byWorker.set(info.id, {
    info,
    isRegistered,
    isInherited: hasPast,
    incarnation: record?.incarnation ?? 0,
    round: 1,
    isSettled: false,
    clock: undefined,
    leaseUntilMs: 0,
    inheritedLapseMs: hasPast
      ? update.now + UNCONFIRMED_MS + INHERITED_LEASE_MS
      : update.now,
    handled: recorded,
    recorded,
    pendingRecords: [],
    ticket: 0,
    isRecorded: hasPast,
    renewal: 0,
    renewalToken: 0,
    nextRenewalMs: update.now,
    missed: 0,
    answeredMs: update.now,
    answeredAddress: hasPast ? record.address : "",
    attempts: new Map(),
  });
}

function workerChanged(update: Update, workerId: string): void {
  const sessions = update.write(SESSIONS);
  if (!sessions.isOpen) {
    return;
  }
  const info = update.read(REPLICA).workers.get(workerId);
  const session = sessions.byWorker.get(workerId);
  if (session === undefined) {
    if (info !== undefined) {
      openSession(update, info, true);
    }
    return;
  }
  session.isRegistered = info !== undefined;
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
}

function recorded(update: Update, upToTicket: number): void {
  for (const session of update.write(SESSIONS).byWorker.values()) {
    const { pendingRecords } = session;
    while (
      pendingRecords[0] !== undefined && pendingRecords[0].ticket <= upToTicket
    ) {
      const { number } = pendingRecords.shift()!;
      session.recorded = Math.max(session.recorded, number);
      session.isRecorded = true;
    }
  }
}

function tick(update: Update): void {
  if (!isOwner(update)) {
    return;
  }
  const { confirmedMs } = update.read(TENURE);
  const mayExtend = update.now - confirmedMs < UNCONFIRMED_MS;
  for (const [id, session] of [...update.read(SESSIONS).byWorker]) {
    considerLapse(update, session);
    considerRenewal(update, session, mayExtend);
    if (session.isRecorded) {
      considerIdle(update, session);
    } else if (session.ticket === 0 && takesWork(session)) {
      considerRecording(update, session);
    }
    if (isGone(session, update.now)) {
      update.write(SESSIONS).byWorker.delete(id);
      queueChange(update, recordKey(RecordKind.Session, id), undefined);
      update.emit(logChange("Worker forgotten", { worker: id }));
    }
  }
}

/** A successor must know of every worker that was ever given work. */
function considerRecording(update: Update, session: Session): void {
  if (session.incarnation !== 0 || session.isSettled) {
    recordSession(update, session);
  }
}

/** A successor need not wait for a worker that was empty and out of use. */
function considerIdle(update: Update, session: Session): void {
  const isEmpty = session.isSettled && session.attempts.size === 0 &&
    session.recorded >= session.handled;
  if (isEmpty && (session.missed >= IDLE_MISSES || !isInUse(session))) {
    recordIdle(update, session);
  }
}

function takesWork(session: Readonly<Session>): boolean {
  return session.missed === 0 && isInUse(session);
}

function isInUse({ isRegistered, info }: Readonly<Session>): boolean {
  return isRegistered && info.state === WorkerState.Ready;
}

function isGone(session: Readonly<Session>, now: number): boolean {
  return !session.isRegistered && session.isSettled &&
    session.attempts.size === 0 && session.missed > 0 &&
    now - session.answeredMs > DEPARTED_DROP_MS;
}

registerPlugin({
  name: "sessions",
  roles: [Role.Combined],
  create: () => new SessionsPlugin(),
});

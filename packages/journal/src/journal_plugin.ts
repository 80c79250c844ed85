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
  homeUnit,
  OWNERSHIP_PREFIX,
  UNIT_SUPERSEDED,
} from "@mustardweir/membership";
import {
  type CommitResult,
  count,
  EffectKind,
  type EffectReply,
  logChange,
  nodeEffect,
  observe,
  replyTo,
  type RowPut,
  type ScanResult,
  StoreStatus,
} from "@mustardweir/protocol";
import { err, ok, type Result } from "neverthrow";
import {
  APPEND_JOURNAL,
  CLOSE_JOURNAL,
  COMPOSE_SNAPSHOT,
  JOURNAL_COMMITTED,
  JOURNAL_OPENED,
  OPEN_JOURNAL,
} from "./commands.ts";
import {
  type HomeBatch,
  type HomeJournal,
  JOURNAL,
  journalPrefix,
  type JournalState,
} from "./journal_state.ts";
import type { JournalRecord } from "./records.ts";
import { composeRows, countChars, isSnapshotDue } from "./rows.ts";
import { createRateLimit, tryTakeWrite } from "./write_rate_limit.ts";

/** Delay before a failed read or write is retried, in milliseconds. */
const RETRY_DELAY_MS = 200;

/** Interval of checks for due retries and unwritten records, in ms. */
const TICK_MS = 100;

/** Most records of one home in one write; the rest waits for the next. */
const MAX_RECORDS_PER_BATCH = 2_000;

const JOURNAL_SCANNED = createCommand<
  EffectReply<{ team: string; epoch: number }, ScanResult>
>("journal-scanned");

const JOURNAL_WRITTEN = createCommand<
  EffectReply<{ startedAt: number }, CommitResult>
>("journal-written");

/**
 * Writes the records of homes to the table by group commit. One write is in
 * flight at a time; the next one carries all records that have been appended
 * meanwhile, for all homes of this scheduler.
 */
export class JournalPlugin extends Plugin {
  override readonly name = "journal";

  override register(kernel: Kernel): Undo {
    const { Normal } = CommandPriority;
    return mergeUndo(
      kernel.registerState(JOURNAL, {
        homes: new Map(),
        inFlight: undefined,
        inFlightSince: 0,
        isolated: [],
        retryAt: Infinity,
        rateLimit: createRateLimit(),
      }),
      kernel.registerCommand(OPEN_JOURNAL, open, Normal),
      kernel.registerCommand(APPEND_JOURNAL, append, Normal),
      kernel.registerCommand(CLOSE_JOURNAL, close, Normal),
      kernel.registerCommand(
        JOURNAL_SCANNED,
        ({ context, result }, update) => load(update, context, result),
        Normal,
      ),
      kernel.registerCommand(
        JOURNAL_WRITTEN,
        ({ context, result }, update) =>
          handleWriteResult(update, context, result),
        Normal,
      ),
      kernel.registerPeriodic({ intervalMs: TICK_MS, run: tick }),
    );
  }
}

interface OpenRequest {
  readonly team: string;
  readonly epoch: number;
  readonly ownershipVersion: number;
}

function open(request: OpenRequest, update: Update): void {
  const journal: HomeJournal = {
    ...request,
    isOpen: false,
    nextSeq: 0,
    pending: [],
    rowKeys: [],
    snapshotChars: 0,
    charsSince: 0,
  };
  update.write(JOURNAL).homes.set(request.team, journal);
  scan(update, journal);
}

function scan(update: Update, { team, epoch }: HomeJournal): void {
  update.emit(nodeEffect({
    kind: EffectKind.ScanTable,
    prefix: journalPrefix(team),
    afterRevision: 0,
    replyTo: replyTo(JOURNAL_SCANNED, { team, epoch }),
  }));
}

function load(
  update: Update,
  { team, epoch }: { readonly team: string; readonly epoch: number },
  result: ScanResult,
): void {
  const journal = update.write(JOURNAL).homes.get(team);
  if (journal === undefined || journal.epoch !== epoch || journal.isOpen) {
    return;
  }
  if (result.status !== StoreStatus.Ok) {
    update.write(JOURNAL).retryAt = update.now + RETRY_DELAY_MS;
    return;
  }
  const rows = [...result.page.rows].sort((a, b) => a.key < b.key ? -1 : 1);
  const records = parseRows(rows);
  if (records.isErr()) {
    // Without this row accepted jobs could be lost or run again, so the home
    // stays closed until the row is repaired.
    update.emit(logChange("Journal row can't be read", {
      team,
      key: records.error,
    }));
    update.write(JOURNAL).retryAt = update.now + RETRY_DELAY_MS;
    return;
  }
  journal.rowKeys = rows.map((row) => row.key);
  journal.charsSince = countChars(rows);
  journal.isOpen = true;
  update.dispatch(JOURNAL_OPENED, { team, epoch, records: records.value });
}

/** Parses the journal's rows; the error is the key of the first bad one. */
function parseRows(
  rows: readonly { readonly key: string; readonly value: string }[],
): Result<JournalRecord[], string> {
  const records: JournalRecord[] = [];
  for (const { key, value } of rows) {
    const parsed = parseRow(value);
    if (parsed === undefined) {
      return err(key);
    }
    records.push(...parsed);
  }
  return ok(records);
}

function parseRow(value: string): JournalRecord[] | undefined {
  try {
    const parsed: unknown = JSON.parse(value);
    return Array.isArray(parsed) ? parsed : undefined;
  } catch {
    return undefined;
  }
}

interface AppendRequest {
  readonly team: string;
  readonly records: readonly JournalRecord[];
}

function append({ team, records }: AppendRequest, update: Update): void {
  const state = update.write(JOURNAL);
  state.homes.get(team)?.pending.push(...records);
  flush(update, state);
}

function close({ team }: { readonly team: string }, update: Update): void {
  update.write(JOURNAL).homes.delete(team);
}

/** Starts the next write if none is in flight and the rate limit allows it. */
function flush(update: Update, state: JournalState): void {
  if (!hasWork(state) || !tryTakeWrite(update, state.rateLimit)) {
    return;
  }
  state.isolated = state.isolated.filter((b) => isCurrent(state, b));
  const next = state.isolated.shift();
  const batches = next === undefined ? collectBatches(update, state) : [next];
  if (batches.length > 0) {
    state.inFlight = batches;
    state.inFlightSince = update.now;
    write(update, batches);
  }
}

function hasWork(state: Readonly<JournalState>): boolean {
  return state.inFlight === undefined &&
    (state.isolated.length > 0 ||
      [...state.homes.values()].some(hasWritableRecords));
}

/** Returns true if the home has records that can be written. */
function hasWritableRecords({ isOpen, pending }: HomeJournal): boolean {
  return isOpen && pending.length > 0;
}

function collectBatches(update: Update, state: JournalState): HomeBatch[] {
  return [...state.homes.values()]
    .filter(hasWritableRecords)
    .map((home) => takeBatch(update, home));
}

function takeBatch(update: Update, home: HomeJournal): HomeBatch {
  const records = home.pending.splice(0, MAX_RECORDS_PER_BATCH);
  const { team, epoch } = home;
  if (isSnapshotDue(home)) {
    const puts = takeSnapshot(update, home, records);
    const deletes = home.rowKeys;
    home.rowKeys = puts.map(({ key }) => key);
    return { team, epoch, records, puts, deletes };
  }
  const puts = composeRows(home, records);
  home.rowKeys.push(...puts.map(({ key }) => key));
  home.charsSince += countChars(puts);
  return { team, epoch, records, puts, deletes: [] };
}

function takeSnapshot(
  update: Update,
  home: HomeJournal,
  records: readonly JournalRecord[],
): RowPut[] {
  const snapshot: JournalRecord[] = [];
  update.dispatch(COMPOSE_SNAPSHOT, { team: home.team, records: snapshot });
  const puts = composeRows(home, [...snapshot, ...records]);
  home.snapshotChars = countChars(puts);
  home.charsSince = 0;
  return puts;
}

function write(update: Update, batches: readonly HomeBatch[]): void {
  const homes = update.read(JOURNAL).homes;
  update.emit(count("journal_writes"));
  update.emit(nodeEffect({
    kind: EffectKind.CommitTable,
    transaction: {
      checks: batches.map(({ team }) => ({
        key: `${OWNERSHIP_PREFIX}${homeUnit(team)}`,
        version: homes.get(team)?.ownershipVersion ?? 0,
      })),
      puts: batches.flatMap((batch) => batch.puts),
      deletes: batches.flatMap((batch) => batch.deletes),
    },
    replyTo: replyTo(JOURNAL_WRITTEN, { startedAt: update.now }),
  }));
}

function handleWriteResult(
  update: Update,
  { startedAt }: { readonly startedAt: number },
  result: CommitResult,
): void {
  const state = update.write(JOURNAL);
  const batches = state.inFlight ?? [];
  switch (result.status) {
    case StoreStatus.Ok:
      update.emit(observe("journal_write_ms", update.now - startedAt));
      state.inFlight = undefined;
      batches.forEach((batch) => reportCommitted(update, state, batch));
      break;
    case StoreStatus.Conflict:
      state.inFlight = undefined;
      isolateConflict(update, state, batches);
      break;
    default:
      // Puts and deletes are idempotent, so the write can be repeated.
      state.retryAt = update.now + RETRY_DELAY_MS;
      return;
  }
  flush(update, state);
}

function reportCommitted(
  update: Update,
  state: JournalState,
  { team, epoch, records }: HomeBatch,
): void {
  if (state.homes.get(team)?.epoch === epoch) {
    update.dispatch(JOURNAL_COMMITTED, { team, epoch, records });
  }
}

/**
 * Handles a write that conflicted because one of its homes was taken over. The
 * batches are repeated one by one, until the one that fails alone shows which.
 */
function isolateConflict(
  update: Update,
  state: JournalState,
  batches: readonly HomeBatch[],
): void {
  const [only, ...others] = batches;
  if (only !== undefined && others.length === 0) {
    update.emit(count("journal_superseded"));
    update.dispatch(UNIT_SUPERSEDED, {
      unit: homeUnit(only.team),
      epoch: only.epoch + 1,
    });
    return;
  }
  state.isolated.push(...batches);
}

/** Retries failed reads and writes, and starts a write that was delayed. */
function tick(update: Update): void {
  retry(update);
  if (hasWork(update.read(JOURNAL))) {
    flush(update, update.write(JOURNAL));
  }
}

/** Repeats failed reads and writes once due, without homes that were closed. */
function retry(update: Update): void {
  const { retryAt } = update.read(JOURNAL);
  if (update.now < retryAt) {
    return;
  }
  const state = update.write(JOURNAL);
  state.retryAt = Infinity;
  for (const journal of state.homes.values()) {
    if (!journal.isOpen) {
      scan(update, journal);
    }
  }
  if (state.inFlight === undefined) {
    return;
  }
  state.inFlight = state.inFlight.filter((batch) => isCurrent(state, batch));
  if (state.inFlight.length > 0) {
    write(update, state.inFlight);
  } else {
    state.inFlight = undefined;
    flush(update, state);
  }
}

function isCurrent(state: JournalState, { team, epoch }: HomeBatch): boolean {
  return state.homes.get(team)?.epoch === epoch;
}

/** A write in flight for longer than this indicates an outage, in ms. */
const STALLED_AFTER_MS = 2_000;

/**
 * Returns true while nothing can be made durable, so that new work should be
 * refused.
 *
 * @example
 * ```ts
 * if (isJournalStuck(update)) {
 *   return err(refuse(RefusalReason.StoreUnavailable, { message }));
 * }
 * ```
 */
export function isJournalStuck(update: Update): boolean {
  const { inFlight, inFlightSince } = update.read(JOURNAL);
  return inFlight !== undefined &&
    update.now - inFlightSince > STALLED_AFTER_MS;
}

registerPlugin({
  name: "journal",
  roles: [Role.Scheduler],
  create: () => new JournalPlugin(),
});

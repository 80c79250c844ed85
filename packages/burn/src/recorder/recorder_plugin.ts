import { CONFIGURATION } from "@mustardweir/configuration";
import {
  CommandPriority,
  createStateKey,
  type Kernel,
  mergeUndo,
  Plugin,
  registerPlugin,
  Role,
  type Undo,
  type Update,
} from "@mustardweir/kernel";
import {
  WORK_ACCEPTED,
  WORK_ENDED,
  WORK_STARTED,
  type WorkEvent,
} from "@mustardweir/home";
import { homeUnit, UNIT_ACQUIRED, UNIT_LOST } from "@mustardweir/membership";
import type { JobKind } from "@mustardweir/model";
import {
  type BurnRecordSeries,
  type BurnSpan,
  PEER_MESSAGE_RECEIVED,
  PeerMessageKind,
  sendPeer,
} from "@mustardweir/protocol";
import { WaitHistogram } from "../wait_histogram.ts";
import { BUDGET_WINDOW, WINDOWS } from "../windows.ts";
import { findStartLimitMs } from "../objectives.ts";
import { SeriesRecord } from "./series_record.ts";
import { classifyEnd, type Tally } from "./tally.ts";

/** Interval between removals of expired data, in milliseconds. */
const REMOVAL_INTERVAL_MS = 60_000;

const HOME_PREFIX = homeUnit("");

interface OpenJob extends WorkEvent {
  readonly acceptedAt: number;
}

/** A period in which this node owned the home of a team. */
interface OwnedSpan {
  readonly team: string;
  readonly from: number;
  to?: number;
}

interface BurnState {
  /** Keyed by team and kind. */
  readonly series: Map<string, NamedSeries>;
  /** Jobs accepted on this node that have not started, by id. */
  readonly open: Map<string, OpenJob>;
  spans: OwnedSpan[];
}

interface NamedSeries {
  readonly team: string;
  readonly kind: JobKind;
  readonly record: SeriesRecord;
}

const BURN = createStateKey<BurnState>("burn");

/** Records the waits and outcomes of the jobs of this node's homes. */
export class BurnRecorderPlugin extends Plugin {
  override readonly name = "burn-recorder";

  override register(kernel: Kernel): Undo {
    const { Observer } = CommandPriority;
    return mergeUndo(
      kernel.registerState(BURN, {
        series: new Map(),
        open: new Map(),
        spans: [],
      }),
      kernel.registerCommand(WORK_ACCEPTED, onAccepted, Observer),
      kernel.registerCommand(WORK_STARTED, onStarted, Observer),
      kernel.registerCommand(
        WORK_ENDED,
        (work, update) => {
          const countName = classifyEnd(work.outcome, work.reason);
          update.write(BURN).open.delete(work.jobId);
          record(update, work, (tally) => tally.count(countName));
        },
        Observer,
      ),
      kernel.registerCommand(
        UNIT_ACQUIRED,
        ({ unit }, update) => openSpan(update, unit),
        Observer,
      ),
      kernel.registerCommand(
        UNIT_LOST,
        ({ unit }, update) => closeSpan(update, unit),
        Observer,
      ),
      kernel.registerCommand(
        PEER_MESSAGE_RECEIVED,
        ({ from, message }, update) => {
          if (message.kind === PeerMessageKind.BurnRequest) {
            sendRecord(update, from, message.requestId);
          }
        },
        CommandPriority.Normal,
      ),
      kernel.registerPeriodic({
        intervalMs: REMOVAL_INTERVAL_MS,
        run: removeExpired,
      }),
    );
  }
}

registerPlugin({
  name: "burn-recorder",
  roles: [Role.Scheduler],
  create: () => new BurnRecorderPlugin(),
});

function onAccepted(work: WorkEvent, update: Update): void {
  const { open } = update.write(BURN);
  open.set(work.jobId, { ...work, acceptedAt: update.now });
  record(update, work, (tally) => tally.count("accepted"));
}

function onStarted(work: WorkEvent, update: Update): void {
  const { open } = update.write(BURN);
  const job = open.get(work.jobId);
  open.delete(work.jobId);
  record(update, work, (tally) => {
    if (job === undefined) {
      tally.count("unmeasured");
    } else {
      tally.waits.record(update.now - job.acceptedAt);
    }
  });
}

function record(
  update: Update,
  { team, kind }: WorkEvent,
  change: (tally: Tally) => void,
): void {
  const { series } = update.write(BURN);
  const name = `${team}/${kind}`;
  const named = series.get(name) ??
    { team, kind, record: new SeriesRecord() };
  series.set(name, named);
  named.record.record(update.now, change);
}

function openSpan(update: Update, unit: string): void {
  if (unit.startsWith(HOME_PREFIX)) {
    const team = unit.slice(HOME_PREFIX.length);
    update.write(BURN).spans.push({ team, from: update.now });
  }
}

function closeSpan(update: Update, unit: string): void {
  if (!unit.startsWith(HOME_PREFIX)) {
    return;
  }
  const team = unit.slice(HOME_PREFIX.length);
  const { spans, open } = update.write(BURN);
  for (const span of spans) {
    if (span.team === team) {
      span.to ??= update.now;
    }
  }
  for (const job of open.values()) {
    if (job.team === team) {
      open.delete(job.jobId);
    }
  }
}

function removeExpired(update: Update): void {
  const state = update.write(BURN);
  const oldest = update.now - WINDOWS[BUDGET_WINDOW].lengthMs;
  state.spans = state.spans.filter(({ to = Infinity }) => to > oldest);
  for (const [name, { record }] of state.series) {
    record.removeExpired(update.now);
    if (record.isEmpty) {
      state.series.delete(name);
    }
  }
}

function sendRecord(update: Update, to: string, requestId: string): void {
  update.emit(sendPeer(to, {
    kind: PeerMessageKind.BurnRecord,
    requestId,
    series: buildSeriesRecords(update),
    spans: buildSpans(update),
  }));
}

function buildSeriesRecords(update: Update): BurnRecordSeries[] {
  const { series, open } = update.read(BURN);
  const { rules } = update.read(CONFIGURATION).current;
  const waiting = new Map<string, WaitHistogram>();
  for (const { team, kind, acceptedAt } of open.values()) {
    const name = `${team}/${kind}`;
    const waits = waiting.get(name) ?? new WaitHistogram();
    waits.record(update.now - acceptedAt);
    waiting.set(name, waits);
  }
  return [...series].map(([name, { team, kind, record }]) => ({
    team,
    kind,
    windows: record.windows(update.now),
    waiting: waiting.get(name)?.encode() ?? "",
    points: record.points(update.now, findStartLimitMs(rules, { team, kind })),
  }));
}

function buildSpans(update: Update): BurnSpan[] {
  return update.read(BURN).spans.map(({ team, from, to = update.now }) => ({
    team,
    fromAgeMs: update.now - from,
    toAgeMs: update.now - to,
  }));
}

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
  count,
  EffectKind,
  type EffectReply,
  GAUGE_INTERVAL_MS,
  logChange,
  PEER_MESSAGE_RECEIVED,
  PeerMessageKind,
  replyTo,
  Source,
  type SourceChange,
  type SourceResult,
  SourceResultKind,
} from "@mustardweir/protocol";
import { callStore } from "@mustardweir/store-route";
import { applyChanges, applyProgress } from "./apply.ts";
import { SOURCE_PARTS, SUMMARY_KEY } from "./record_keys.ts";
import {
  FOLLOWER_INTERVAL_MS,
  isFollower,
  recentSummary,
  RECORDS_WANTED,
  REPLICA,
  type SourceView,
  STANDBY_STARTED,
} from "./replica.ts";
import {
  createReplica,
  emitSourceGauges,
  expireDeparted,
  removeUnlisted,
  UNKNOWN_VALUE,
  updateClocks,
} from "./views.ts";

/** Timing of the calls that follow a source. */
interface FollowTiming {
  /** Time that a call waits in the store for a change, in milliseconds. */
  readonly waitMs: number;
  /** Pause between calls, in milliseconds. */
  readonly pauseMs: number;
}

/**
 * Records change with each commit of the owner, so they are fetched in
 * batches; the pause limits the total rate of calls of all nodes.
 */
const FOLLOW_TIMING: Record<Source, FollowTiming> = {
  [Source.Records]: { waitMs: 300, pauseMs: 200 },
  [Source.Fleet]: { waitMs: 1_000, pauseMs: 1_000 },
  [Source.Operator]: { waitMs: 1_000, pauseMs: 0 },
  [Source.Workers]: { waitMs: 500, pauseMs: 150 },
};

/**
 * Pause between calls in the first seconds of a process, in milliseconds: it
 * waits for the other nodes' records to know whether it may own the domain.
 */
const FIRST_PAUSE_MS = 400;
const FIRST_CALLS_MS = 5_000;

/** Time allowed for a reply beyond the wait in the store, in milliseconds. */
const REPLY_ALLOWANCE_MS = 700;
/** Delay before a failed call is retried, in milliseconds. */
const RETRY_DELAY_MS = 150;
/** Interval at which due calls are sent, in milliseconds. */
const TICK_MS = 20;
/** Sources that only nodes follow which keep a copy of all records. */
const STANDBY_SOURCES: ReadonlySet<Source> = new Set([
  Source.Records,
  Source.Workers,
]);

enum Phase {
  Idle = "idle",
  Listing = "listing",
  Following = "following",
  /** Reads only the owner's summary. */
  ReadingSummary = "reading-summary",
}

/** A page of a listing. */
interface Page {
  readonly part: string;
  /** Key after which the page begins; the first page if undefined. */
  readonly after?: string;
}

interface Progress {
  phase: Phase;
  /** Time before which no call is sent, in milliseconds. */
  nextMs: number;
  /** Entries listed so far; applied together when the listing is complete. */
  listed: SourceChange[];
  readonly partsLeft: Set<string>;
  /** Pages without a reply, to be read again; the others are kept. */
  failedPages: Page[];
  /** Number of the listing, to ignore late replies of earlier ones. */
  listing: number;
  listedVersion: number;
  /** When the listing started, in milliseconds. */
  startedMs: number;
  failures: number;
}

interface FollowContext {
  readonly source: Source;
  readonly phase: Phase.Following | Phase.ReadingSummary;
}

interface ListContext extends Page {
  readonly source: Source;
  readonly phase: Phase.Listing;
  readonly listing: number;
}

const SOURCE_ANSWERED = createCommand<
  EffectReply<FollowContext | ListContext, SourceResult>
>(
  "source-answered",
);

/**
 * Keeps a node's copy of the records, the desired state and the workers up to
 * date: lists each source once, then follows its changes.
 */
export class ReplicaPlugin extends Plugin {
  override readonly name = "replica";
  readonly #progress = new Map<Source, Progress>(
    Object.values(Source).map((source) => [source, {
      phase: Phase.Idle,
      nextMs: 0,
      listed: [],
      partsLeft: new Set<string>(),
      failedPages: [],
      listing: 0,
      listedVersion: 0,
      startedMs: 0,
      failures: 0,
    }]),
  );

  override register(kernel: Kernel): Undo {
    return mergeUndo(
      kernel.registerState(REPLICA, createReplica()),
      kernel.registerCommand(
        SOURCE_ANSWERED,
        ({ context, result }, update) =>
          this.#handleResult(update, context, result),
        CommandPriority.Normal,
      ),
      kernel.registerCommand(
        PEER_MESSAGE_RECEIVED,
        ({ message }, update) => {
          if (message.kind === PeerMessageKind.JobsProgressed) {
            message.jobs.forEach((job) => applyProgress(update, job));
          }
        },
        CommandPriority.Normal,
      ),
      kernel.registerCommand(
        RECORDS_WANTED,
        (_, update) => {
          const progress = this.#progress.get(Source.Records)!;
          progress.nextMs = update.now;
          if (progress.phase === Phase.Idle) {
            this.#call(update, Source.Records, progress);
          }
        },
        CommandPriority.Normal,
      ),
      kernel.registerCommand(
        STANDBY_STARTED,
        (_, update) => this.#tick(update),
        CommandPriority.Low,
      ),
      kernel.registerPeriodic({
        intervalMs: TICK_MS,
        run: (update) => this.#tick(update),
        isIdle: (update) =>
          isFollower(update) &&
          update.read(REPLICA).sources[Source.Fleet].isListed,
        idleIntervalMs: FOLLOWER_INTERVAL_MS,
      }),
      kernel.registerPeriodic({
        intervalMs: GAUGE_INTERVAL_MS,
        run: emitSourceGauges,
      }),
    );
  }

  #tick(update: Update): void {
    const { isStandby } = update.read(REPLICA);
    for (const [source, progress] of this.#progress) {
      if (!isStandby && STANDBY_SOURCES.has(source)) {
        continue;
      }
      if (update.now < progress.nextMs) {
        continue;
      }
      if (progress.phase === Phase.Idle) {
        this.#call(update, source, progress);
      } else if (progress.failedPages.length > 0) {
        for (const page of progress.failedPages.splice(0)) {
          this.#list(update, { ...page, source, progress });
        }
      }
    }
    expireDeparted(update);
  }

  #call(update: Update, source: Source, progress: Progress): void {
    const view = update.read(REPLICA).sources[source];
    if (view.isListed) {
      if (needsSummaryOnly(update, source)) {
        this.#readSummary(update, progress);
      } else {
        this.#follow(update, source, progress);
      }
      return;
    }
    progress.listed = [];
    progress.startedMs = update.now;
    progress.listedVersion = 0;
    progress.listing++;
    progress.failedPages = [];
    progress.partsLeft.clear();
    for (const part of SOURCE_PARTS[source]) {
      progress.partsLeft.add(part);
      this.#list(update, { source, progress, part });
    }
  }

  #follow(update: Update, source: Source, progress: Progress): void {
    const { waitMs } = FOLLOW_TIMING[source];
    progress.phase = Phase.Following;
    callStore(update, {
      kind: EffectKind.FollowSource,
      source,
      afterVersion: update.read(REPLICA).sources[source].version,
      waitMs,
      timeoutMs: waitMs + REPLY_ALLOWANCE_MS,
      replyTo: replyTo(SOURCE_ANSWERED, { source, phase: Phase.Following }),
    });
  }

  #readSummary(update: Update, progress: Progress): void {
    progress.phase = Phase.ReadingSummary;
    callStore(update, {
      kind: EffectKind.ReadSource,
      source: Source.Fleet,
      part: SUMMARY_KEY.part,
      only: SUMMARY_KEY.key,
      timeoutMs: REPLY_ALLOWANCE_MS,
      replyTo: replyTo(SOURCE_ANSWERED, {
        source: Source.Fleet,
        phase: Phase.ReadingSummary,
      }),
    });
  }

  #list(
    update: Update,
    { source, progress, part, after }: Page & {
      readonly source: Source;
      readonly progress: Progress;
    },
  ): void {
    progress.phase = Phase.Listing;
    callStore(update, {
      kind: EffectKind.ReadSource,
      source,
      part,
      ...(after === undefined ? {} : { after }),
      timeoutMs: 2 * REPLY_ALLOWANCE_MS,
      replyTo: replyTo(SOURCE_ANSWERED, {
        source,
        phase: Phase.Listing,
        part,
        ...(after === undefined ? {} : { after }),
        listing: progress.listing,
      }),
    });
  }

  #handleResult(
    update: Update,
    asked: FollowContext | ListContext,
    result: SourceResult,
  ): void {
    const { source } = asked;
    const progress = this.#progress.get(source)!;
    if (progress.phase !== asked.phase || isOutdated(asked, progress)) {
      return;
    }
    const view = update.write(REPLICA).sources[source];
    progress.phase = Phase.Idle;
    progress.nextMs = update.now + RETRY_DELAY_MS;
    switch (result.kind) {
      case SourceResultKind.Unavailable:
        if (asked.phase === Phase.Listing) {
          progress.phase = Phase.Listing;
          progress.failedPages.push(asked);
        }
        update.emit(count(`source-${source}-failures`));
        if (progress.failures++ === 0) {
          update.emit(logChange("Source lost", {
            source,
            reason: result.reason,
            ageMs: view.isListed
              ? Math.round(update.now - view.answeredMs)
              : UNKNOWN_VALUE,
          }));
        }
        return;
      case SourceResultKind.HistoryLost:
        view.isListed = false;
        progress.nextMs = update.now;
        update.emit(logChange("History is gone, listing again", { source }));
        return;
      case SourceResultKind.Read:
        break;
    }
    if (progress.failures > 0) {
      update.emit(logChange("Source regained", { source }));
      progress.failures = 0;
    }
    view.answeredMs = update.now;
    updateClocks(update, result);
    if (asked.phase !== Phase.Listing) {
      progress.nextMs = update.now +
        pauseOf(update, source, update.now - progress.startedMs);
      if (asked.phase === Phase.Following) {
        view.version = Math.max(view.version, result.version);
      }
      applyChanges(update, source, result.changes);
      if (progress.nextMs <= update.now) {
        this.#follow(update, source, progress);
      }
      return;
    }
    this.#handleListPage(update, asked, { progress, view, result });
  }

  #handleListPage(
    update: Update,
    { source, part }: ListContext,
    { progress, view, result }: {
      progress: Progress;
      view: SourceView;
      result: Extract<SourceResult, { kind: SourceResultKind.Read }>;
    },
  ): void {
    progress.listed.push(...result.changes);
    // The parts are listed at different versions: following from the oldest
    // of them misses no change.
    progress.listedVersion = progress.listedVersion === 0
      ? result.version
      : Math.min(progress.listedVersion, result.version);
    if (result.nextAfter !== undefined) {
      this.#list(update, { source, progress, part, after: result.nextAfter });
      return;
    }
    progress.partsLeft.delete(part);
    if (progress.partsLeft.size > 0) {
      progress.phase = Phase.Listing;
      return;
    }
    view.isListed = true;
    view.version = progress.listedVersion;
    update.emit(logChange("Source listed", {
      source,
      entries: progress.listed.length,
      tookMs: Math.round(update.now - progress.startedMs),
    }));
    removeUnlisted(update, source, progress.listed);
    applyChanges(update, source, progress.listed);
    progress.listed = [];
    this.#call(update, source, progress);
  }
}

/**
 * Returns whether the owner's summary replaces the records of the other nodes,
 * so that what this node reads doesn't grow with their number.
 */
function needsSummaryOnly(update: Update, source: Source): boolean {
  return source === Source.Fleet && isFollower(update) &&
    recentSummary(update) !== undefined;
}

/** Returns the pause after a reply, `listedMs` after the source was listed. */
function pauseOf(update: Update, source: Source, listedMs: number): number {
  const { pauseMs } = FOLLOW_TIMING[source];
  // Without a recent summary this node may have to replace a lost standby.
  const isUrgent = listedMs < FIRST_CALLS_MS ||
    (source === Source.Fleet && recentSummary(update) === undefined);
  return isUrgent ? Math.min(pauseMs, FIRST_PAUSE_MS) : pauseMs;
}

function isOutdated(
  asked: FollowContext | ListContext,
  progress: Progress,
): boolean {
  return asked.phase === Phase.Listing && asked.listing !== progress.listing;
}

registerPlugin({
  name: "replica",
  roles: [Role.Combined],
  create: () => new ReplicaPlugin(),
});

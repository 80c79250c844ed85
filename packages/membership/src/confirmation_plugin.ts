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
import {
  ANNOUNCE_EDIT,
  CONFIGURATION,
  CONFIGURATION_FOLLOWER,
} from "@mustardweir/configuration";
import {
  createEffectReply,
  NODE_IDENTITY,
  type OwnedUnit,
  PEER_MESSAGE_RECEIVED,
  PeerMessageKind,
  type ReplyTo,
  sendPeer,
  type Vouch,
} from "@mustardweir/protocol";
import { SCHEDULERS } from "./follower_plugin.ts";
import { OWNERSHIP } from "./ownership.ts";
import { majorityOf, majorityVouchedAt, VOUCHING } from "./vouching.ts";

/** Interval of vouch requests while they are needed, in milliseconds. */
const REQUEST_INTERVAL_MS = 500;

/**
 * If the table was last read longer ago than this, vouches are requested, in
 * milliseconds.
 */
const TABLE_STALE_AFTER_MS = 2_000;

/** Announcements without a majority expire after this time, in milliseconds. */
const ANNOUNCEMENT_TTL_MS = 2_000;

/**
 * Dispatched when a majority of the schedulers vouched that at `at`, by this
 * node's clock, it had no newer configuration and no newer owner.
 */
export const MAJORITY_VOUCHED = createCommand<{ readonly at: number }>(
  "majority-vouched",
);

/** Dispatched before a vouch request; handlers add the units that they own. */
export const COMPOSE_CLAIMS = createCommand<{
  readonly owned: OwnedUnit[];
  /** Set by a handler that needs vouches although the table can be read. */
  isNeeded: boolean;
}>("compose-claims");

/** Dispatched with the units for which a peer reported a higher epoch. */
export const CLAIMS_SUPERSEDED = createCommand<{
  readonly superseded: readonly OwnedUnit[];
}>("claims-superseded");

/** An announced edit that no majority has acknowledged yet. */
interface Announcement {
  readonly replyTo: ReplyTo<true>;
  readonly expiresAt: number;
  readonly acknowledgedBy: Set<string>;
}

interface AnnouncerState {
  nextId: number;
  readonly pending: Map<string, Announcement>;
}

const ANNOUNCER = createStateKey<AnnouncerState>("announcer");

/**
 * Keeps a node working while the table can't be read: a majority of the
 * schedulers must vouch that it has no newer configuration and no newer owner.
 * Each edit is announced to a majority before it is written, and two majorities
 * share a scheduler, so a newer version would be reported.
 */
export class ConfirmationPlugin extends Plugin {
  override readonly name = "confirmation";

  override register(kernel: Kernel): Undo {
    return mergeUndo(
      kernel.registerState(VOUCHING, {
        vouchedAt: new Map(),
        informedAt: new Map(),
      }),
      kernel.registerState(ANNOUNCER, { nextId: 1, pending: new Map() }),
      kernel.registerCommand(
        ANNOUNCE_EDIT,
        ({ version, replyTo }, update) =>
          announceEdit(update, version, replyTo),
        CommandPriority.Normal,
      ),
      kernel.registerCommand(
        PEER_MESSAGE_RECEIVED,
        ({ from, message }, update) => {
          if (message.kind === PeerMessageKind.Vouch) {
            handleVouch(update, from, message);
          } else if (message.kind === PeerMessageKind.EditAnnounced) {
            handleAcknowledgement(update, from, message.announcementId);
          }
        },
        CommandPriority.Normal,
      ),
      kernel.registerPeriodic({
        intervalMs: REQUEST_INTERVAL_MS,
        run: requestVouches,
      }),
    );
  }
}

/** Requests vouches while the table can't be read or a handler needs them. */
function requestVouches(update: Update): void {
  expireAnnouncements(update);
  const draft = { owned: [] as OwnedUnit[], isNeeded: false };
  update.dispatch(COMPOSE_CLAIMS, draft);
  if (!draft.isNeeded && !isTableStale(update)) {
    return;
  }
  for (const { nodeId } of update.read(SCHEDULERS).peers) {
    update.emit(sendPeer(nodeId, {
      kind: PeerMessageKind.VouchRequest,
      tickMs: update.now,
      owned: draft.owned,
    }));
  }
}

function isTableStale(update: Update): boolean {
  const readAt = Math.min(
    update.read(CONFIGURATION).confirmedAt,
    update.read(OWNERSHIP).scannedAt,
  );
  return update.now - readAt > TABLE_STALE_AFTER_MS;
}

/**
 * Applies a vouch; it counts towards a majority if the peer is sure, has no
 * newer configuration than this node and reports no higher epoch of its units.
 */
function handleVouch(update: Update, from: string, vouch: Vouch): void {
  update.dispatch(CLAIMS_SUPERSEDED, { superseded: vouch.superseded });
  addLeaving(update, vouch.leaving);
  if (vouch.tickMs > update.now) {
    // It replies to an earlier process of this node, by that one's clock.
    return;
  }
  const { vouchedAt, informedAt } = update.write(VOUCHING);
  informedAt.set(
    from,
    Math.max(informedAt.get(from) ?? -Infinity, vouch.tickMs),
  );
  const { version } = update.read(CONFIGURATION).current;
  const isNewest = vouch.newestVersion <= version;
  if (!vouch.isSure || !isNewest || vouch.superseded.length > 0) {
    return;
  }
  const last = vouchedAt.get(from) ?? -Infinity;
  vouchedAt.set(from, Math.max(last, vouch.tickMs));
  const at = majorityVouchedAt(update);
  if (at > -Infinity) {
    confirmConfiguration(update, at);
    update.dispatch(MAJORITY_VOUCHED, { at });
  }
}

/** Adds leaving instances that peers report, until the list is next read. */
function addLeaving(update: Update, leaving: readonly string[]): void {
  const schedulers = update.write(SCHEDULERS);
  schedulers.leaving = new Set([...schedulers.leaving, ...leaving]);
}

function confirmConfiguration(update: Update, at: number): void {
  const state = update.write(CONFIGURATION);
  const known = update.read(CONFIGURATION_FOLLOWER).known?.document.version ??
    0;
  if (known <= state.current.version) {
    state.confirmedAt = Math.max(state.confirmedAt, at);
  }
}

function announceEdit(
  update: Update,
  version: number,
  replyTo: ReplyTo<true>,
): boolean {
  const { peers } = update.read(SCHEDULERS);
  if (peers.length === 0) {
    return false;
  }
  const announcer = update.write(ANNOUNCER);
  const { nodeId, incarnation } = update.service(NODE_IDENTITY);
  const announcementId = `${nodeId}/${incarnation}/${announcer.nextId}`;
  announcer.nextId += 1;
  announcer.pending.set(announcementId, {
    replyTo,
    expiresAt: update.now + ANNOUNCEMENT_TTL_MS,
    acknowledgedBy: new Set(),
  });
  for (const peer of peers) {
    update.emit(sendPeer(peer.nodeId, {
      kind: PeerMessageKind.AnnounceEdit,
      announcementId,
      version,
    }));
  }
  return true;
}

function handleAcknowledgement(
  update: Update,
  from: string,
  announcementId: string,
): void {
  const { pending } = update.write(ANNOUNCER);
  const announcement = pending.get(announcementId);
  const { peers } = update.read(SCHEDULERS);
  const isScheduler = peers.some(({ nodeId }) => nodeId === from);
  if (announcement === undefined || !isScheduler) {
    return;
  }
  announcement.acknowledgedBy.add(from);
  if (announcement.acknowledgedBy.size >= majorityOf(peers.length)) {
    pending.delete(announcementId);
    const { replyTo } = announcement;
    update.dispatch(replyTo.command, createEffectReply(replyTo, true));
  }
}

function expireAnnouncements(update: Update): void {
  const { pending } = update.write(ANNOUNCER);
  for (const [id, { expiresAt }] of pending) {
    if (update.now >= expiresAt) {
      pending.delete(id);
    }
  }
}

registerPlugin({
  name: "confirmation",
  roles: [Role.Entry, Role.Scheduler],
  create: () => new ConfirmationPlugin(),
});

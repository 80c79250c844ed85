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
  FOLLOWER,
} from "@mustardweir/configuration";
import {
  answerPayload,
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

/** Time between requests while they are needed, in milliseconds. */
const REQUEST_INTERVAL_MS = 500;

/** A table that was not read for this long is taken for unreadable. */
const BLIND_AFTER_MS = 2_000;

/** Announcements without a majority are forgotten after this time. */
const ANNOUNCEMENT_TTL_MS = 2_000;

/** Dispatched when a majority knew nothing newer at `at`, by this clock. */
export const MAJORITY_VOUCHED = createCommand<{ readonly at: number }>(
  "majority-vouched",
);

/** Fills in the units that a request for vouching names. */
export const COMPOSE_CLAIMS = createCommand<{
  readonly owned: OwnedUnit[];
  /** Set when vouching is needed though the table can be read. */
  isNeeded: boolean;
}>("compose-claims");

/** Dispatched for units that a vouching scheduler knows a newer owner of. */
export const CLAIMS_SUPERSEDED = createCommand<{
  readonly superseded: readonly OwnedUnit[];
}>("claims-superseded");

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
 * Lets a node go on while the table can't be read: a majority of the
 * schedulers vouches that no newer configuration and no newer owner is known.
 * Each edit is announced to a majority before it is written, so that one of
 * them would know.
 */
export class ConfirmationPlugin extends Plugin {
  override readonly name = "confirmation";

  override register(kernel: Kernel): Undo {
    return mergeUndo(
      kernel.registerState(VOUCHING, {
        vouchedAt: new Map(),
        toldAt: new Map(),
      }),
      kernel.registerState(ANNOUNCER, { nextId: 1, pending: new Map() }),
      kernel.registerCommand(
        ANNOUNCE_EDIT,
        ({ version, replyTo }, update) => announce(update, version, replyTo),
        CommandPriority.Normal,
      ),
      kernel.registerCommand(
        PEER_MESSAGE_RECEIVED,
        ({ from, message }, update) => {
          if (message.kind === PeerMessageKind.Vouch) {
            takeVouch(update, from, message);
          } else if (message.kind === PeerMessageKind.EditAnnounced) {
            takeAcknowledgement(update, from, message.announcementId);
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

/** Asks all schedulers, while the table is silent or a claim needs it. */
function requestVouches(update: Update): void {
  dropLateAnnouncements(update);
  const draft = { owned: [] as OwnedUnit[], isNeeded: false };
  update.dispatch(COMPOSE_CLAIMS, draft);
  if (!draft.isNeeded && !isBlind(update)) {
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

function isBlind(update: Update): boolean {
  const readAt = Math.min(
    update.read(CONFIGURATION).confirmedAt,
    update.read(OWNERSHIP).scannedAt,
  );
  return update.now - readAt > BLIND_AFTER_MS;
}

/** Counts an answer that knows of nothing newer. */
function takeVouch(update: Update, from: string, vouch: Vouch): void {
  update.dispatch(CLAIMS_SUPERSEDED, { superseded: vouch.superseded });
  addLeaving(update, vouch.leaving);
  const { vouchedAt, toldAt } = update.write(VOUCHING);
  toldAt.set(from, Math.max(toldAt.get(from) ?? -Infinity, vouch.tickMs));
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

/** What peers know to be leaving counts until the list is read again. */
function addLeaving(update: Update, leaving: readonly string[]): void {
  const schedulers = update.write(SCHEDULERS);
  schedulers.leaving = new Set([...schedulers.leaving, ...leaving]);
}

function confirmConfiguration(update: Update, at: number): void {
  const state = update.write(CONFIGURATION);
  const known = update.read(FOLLOWER).known?.document.version ?? 0;
  if (known <= state.current.version) {
    state.confirmedAt = Math.max(state.confirmedAt, at);
  }
}

function announce(
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

function takeAcknowledgement(
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
    update.dispatch(replyTo.command, answerPayload(replyTo, true));
  }
}

function dropLateAnnouncements(update: Update): void {
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

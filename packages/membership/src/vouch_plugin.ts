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
import { CONFIGURATION } from "@mustardweir/configuration";
import {
  type AnnounceEdit,
  PEER_MESSAGE_RECEIVED,
  PeerMessageKind,
  sendPeer,
  type VouchRequest,
} from "@mustardweir/protocol";
import { newestEpoch, rememberClaims } from "./claims.ts";
import { SCHEDULERS } from "./follower_plugin.ts";
import { OWNERSHIP } from "./ownership.ts";
import { COMPOSE_OWN_VOUCH } from "./vouching.ts";

/**
 * A write to the table takes effect within this time of being sent or never,
 * in milliseconds. An announcement is kept for as long, and a scheduler that
 * has started vouches for nothing before.
 */
export const WRITE_LIFETIME_MS = 12_000;

/** Time between looks at announcements that are settled. */
const SETTLE_INTERVAL_MS = 500;

interface AnnouncedState {
  /** When each version was last announced to this node. */
  readonly versions: Map<number, number>;
  startedAt: number | undefined;
}

const ANNOUNCED = createStateKey<AnnouncedState>("announced-edits");

/** Remembers announced edits and tells others what it knows. */
export class VouchPlugin extends Plugin {
  override readonly name = "vouch";

  override register(kernel: Kernel): Undo {
    return mergeUndo(
      kernel.registerState(ANNOUNCED, {
        versions: new Map(),
        startedAt: undefined,
      }),
      kernel.registerCommand(
        PEER_MESSAGE_RECEIVED,
        ({ from, message }, update) => {
          if (message.kind === PeerMessageKind.VouchRequest) {
            answerRequest(update, from, message);
          } else if (message.kind === PeerMessageKind.AnnounceEdit) {
            rememberEdit(update, from, message);
          }
        },
        CommandPriority.Normal,
      ),
      kernel.registerCommand(
        COMPOSE_OWN_VOUCH,
        composeOwnVouch,
        CommandPriority.Normal,
      ),
      kernel.registerPeriodic({
        intervalMs: SETTLE_INTERVAL_MS,
        run: settleAnnouncements,
      }),
    );
  }
}

function rememberEdit(
  update: Update,
  from: string,
  { announcementId, version }: AnnounceEdit,
): void {
  update.write(ANNOUNCED).versions.set(version, update.now);
  update.emit(sendPeer(from, {
    kind: PeerMessageKind.EditAnnounced,
    announcementId,
  }));
}

/** Forgets edits that are in force, or that can't come into force any more. */
function settleAnnouncements(update: Update): void {
  const announced = update.write(ANNOUNCED);
  announced.startedAt ??= update.now;
  const { current, confirmedAt } = update.read(CONFIGURATION);
  for (const [version, announcedAt] of announced.versions) {
    const isOver = confirmedAt - announcedAt > WRITE_LIFETIME_MS;
    if (version <= current.version || isOver) {
      announced.versions.delete(version);
    }
  }
}

/** Counts this node's own word in a majority, unless it may know too little. */
function composeOwnVouch(vouch: { isSure: boolean }, update: Update): void {
  const { version } = update.read(CONFIGURATION).current;
  vouch.isSure = isSure(update) && newestVersion(update) <= version;
}

function newestVersion(update: Update): number {
  const { versions } = update.read(ANNOUNCED);
  return Math.max(
    update.read(CONFIGURATION).current.version,
    ...versions.keys(),
  );
}

function answerRequest(
  update: Update,
  from: string,
  { tickMs, owned }: VouchRequest,
): void {
  rememberClaims(update, owned);
  const superseded = owned
    .map(({ unit, epoch }) => ({
      unit,
      epoch: Math.max(newestEpoch(update, unit), epoch),
    }))
    .filter((claim, index) => claim.epoch > (owned[index]?.epoch ?? 0));
  update.emit(sendPeer(from, {
    kind: PeerMessageKind.Vouch,
    tickMs,
    isSure: isSure(update),
    newestVersion: newestVersion(update),
    leaving: [...update.read(SCHEDULERS).leaving],
    superseded,
  }));
}

/** False while an announcement to an earlier process may be forgotten. */
function isSure(update: Update): boolean {
  const { startedAt } = update.read(ANNOUNCED);
  const since = (startedAt ?? update.now) + WRITE_LIFETIME_MS;
  return update.read(CONFIGURATION).confirmedAt > since &&
    update.read(OWNERSHIP).scannedAt > since;
}

registerPlugin({
  name: "vouch",
  roles: [Role.Scheduler],
  create: () => new VouchPlugin(),
});

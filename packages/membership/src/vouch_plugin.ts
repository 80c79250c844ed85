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
import { newestEpoch, recordClaims } from "./claims.ts";
import { SCHEDULERS } from "./follower_plugin.ts";
import { OWNERSHIP } from "./ownership.ts";
import { COMPOSE_OWN_VOUCH } from "./vouching.ts";

/**
 * A write to the table takes effect within this time after it is sent, or
 * never, in milliseconds. Announced edits are kept for as long, and a restarted
 * scheduler doesn't vouch until this time has passed.
 */
export const WRITE_LIFETIME_MS = 12_000;

/** Interval at which announced edits are checked for expiry, in ms. */
const CLEANUP_INTERVAL_MS = 500;

interface AnnouncedState {
  /** By version of the configuration: when it was last announced. */
  readonly versions: Map<number, number>;
  /** When the first check for expiry ran, in milliseconds. */
  startedAt: number | undefined;
}

const ANNOUNCED = createStateKey<AnnouncedState>("announced-edits");

/**
 * Records announced edits and replies to vouch requests with the newest
 * configuration version and newer claims that this scheduler has received.
 */
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
            recordAnnouncedEdit(update, from, message);
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
        intervalMs: CLEANUP_INTERVAL_MS,
        run: expireAnnouncedEdits,
      }),
    );
  }
}

function recordAnnouncedEdit(
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

/** Removes announced edits that are in force or can no longer take effect. */
function expireAnnouncedEdits(update: Update): void {
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

/**
 * Sets whether this node's own vouch counts: it has been up for long enough and
 * no newer configuration was announced to it.
 */
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
  recordClaims(update, owned);
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

/**
 * Returns whether this node can vouch: false until every edit that was
 * announced to an earlier process of it has taken effect or failed.
 */
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

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
import {
  COMPOSE_SNAPSHOT,
  JOURNAL_COMMITTED,
  JOURNAL_OPENED,
} from "@mustardweir/journal";
import {
  COMPOSE_HEARTBEAT,
  homeUnit,
  OWNERSHIP_CHANGED,
  UNIT_ACQUIRED,
  UNIT_LOST,
} from "@mustardweir/membership";
import {
  PEER_MESSAGE_RECEIVED,
  type PeerMessage,
  PeerMessageKind,
} from "@mustardweir/protocol";
import { applyAnswers, applyEvents } from "./answers.ts";
import { handleCall } from "./calls.ts";
import { askForRoom } from "./dispatch.ts";
import { applyInventory } from "./adoption.ts";
import { fenceSlices } from "./fencing.ts";
import { findHome, type Home, HomePhase, HOMES } from "./home_state.ts";
import { applyCommitted } from "./records.ts";
import { closeHome, loadRecords, openHome } from "./recovery.ts";
import { composeSnapshot } from "./snapshot.ts";
import { evictEndedJobs, maintainHome } from "./maintenance.ts";
import { addWaitingCounts } from "./work_events.ts";

/** Interval between maintenance passes over the homes, in milliseconds. */
const MAINTENANCE_INTERVAL_MS = 100;

/** Interval between evictions of ended jobs, in milliseconds. */
const EVICTION_INTERVAL_MS = 5_000;

const HOME_PREFIX = homeUnit("");

/**
 * Keeps the homes of teams: queues jobs, asks slices for room, tracks each job.
 */
export class HomePlugin extends Plugin {
  override readonly name = "home";

  override register(kernel: Kernel): Undo {
    const { Normal } = CommandPriority;
    return mergeUndo(
      kernel.registerState(HOMES, { homes: new Map() }),
      kernel.registerCommand(
        UNIT_ACQUIRED,
        ({ unit, owned }, update) =>
          withTeam(unit, (team) => openHome(update, team, owned)),
        Normal,
      ),
      kernel.registerCommand(
        UNIT_LOST,
        ({ unit }, update) => withTeam(unit, (team) => closeHome(update, team)),
        Normal,
      ),
      kernel.registerCommand(OWNERSHIP_CHANGED, fenceAllHomes, Normal),
      ...registerJournal(kernel),
      kernel.registerCommand(
        PEER_MESSAGE_RECEIVED,
        ({ from, message }, update) => receive(update, from, message),
        Normal,
      ),
      kernel.registerCommand(
        COMPOSE_HEARTBEAT,
        (draft, update) => addWaitingCounts(update, draft),
        Normal,
      ),
      kernel.registerPeriodic({
        intervalMs: MAINTENANCE_INTERVAL_MS,
        run: maintainHomes,
      }),
      kernel.registerPeriodic({
        intervalMs: EVICTION_INTERVAL_MS,
        run: evictFromHomes,
      }),
    );
  }
}

function registerJournal(kernel: Kernel): Undo[] {
  const { Normal } = CommandPriority;
  return [
    kernel.registerCommand(
      JOURNAL_OPENED,
      ({ team, epoch, records }, update) =>
        withHome(update, { team, epoch }, (home) => {
          loadRecords(update, home, records);
          askForRoom(update, home);
        }),
      Normal,
    ),
    kernel.registerCommand(
      JOURNAL_COMMITTED,
      ({ team, epoch, records }, update) =>
        withHome(update, { team, epoch }, (home) => {
          applyCommitted(update, home, records);
          askForRoom(update, home);
        }),
      Normal,
    ),
    kernel.registerCommand(
      COMPOSE_SNAPSHOT,
      ({ team, records }, update) => {
        const home = findHome(update, team);
        if (home !== undefined) {
          records.push(...composeSnapshot(home));
        }
      },
      Normal,
    ),
  ];
}

function withTeam(unit: string, act: (team: string) => void): void {
  if (unit.startsWith(HOME_PREFIX)) {
    act(unit.slice(HOME_PREFIX.length));
  }
}

interface HomeName {
  readonly team: string;
  readonly epoch: number;
}

/** Calls `act` with the home unless it is missing or of another epoch. */
function withHome(
  update: Update,
  { team, epoch }: HomeName,
  act: (home: Home) => void,
): void {
  const home = findHome(update, team);
  if (home !== undefined && home.epoch === epoch) {
    act(home);
  }
}

function receive(update: Update, from: string, message: PeerMessage): void {
  switch (message.kind) {
    case PeerMessageKind.HomeCall:
      handleCall(update, { from, call: message });
      askForRoomOfTeam(update, message.team);
      break;
    case PeerMessageKind.HomeInventory:
      withLoadedHome(
        update,
        message,
        (home) => applyInventory(update, home, message),
      );
      break;
    case PeerMessageKind.RoomAnswer:
      withLoadedHome(
        update,
        message,
        (home) => applyAnswers(update, home, message),
      );
      break;
    case PeerMessageKind.TaskEvents:
      withLoadedHome(
        update,
        message,
        (home) => applyEvents(update, home, message),
      );
      break;
    default:
      break;
  }
}

function withLoadedHome(
  update: Update,
  { team, homeEpoch }: { readonly team: string; readonly homeEpoch: number },
  act: (home: Home) => void,
): void {
  withHome(update, { team, epoch: homeEpoch }, (home) => {
    if (home.phase !== HomePhase.Loading) {
      act(home);
      askForRoom(update, home);
    }
  });
}

function askForRoomOfTeam(update: Update, team: string): void {
  const home = findHome(update, team);
  if (home !== undefined) {
    askForRoom(update, home);
  }
}

function fenceAllHomes(_changed: unknown, update: Update): void {
  for (const home of update.write(HOMES).homes.values()) {
    if (home.phase !== HomePhase.Loading) {
      fenceSlices(update, home);
    }
  }
}

function maintainHomes(update: Update): void {
  for (const home of update.write(HOMES).homes.values()) {
    if (home.phase !== HomePhase.Loading) {
      maintainHome(update, home);
      askForRoom(update, home);
    }
  }
}

function evictFromHomes(update: Update): void {
  for (const home of update.write(HOMES).homes.values()) {
    evictEndedJobs(update, home);
  }
}

registerPlugin({
  name: "home",
  roles: [Role.Scheduler],
  create: () => new HomePlugin(),
});

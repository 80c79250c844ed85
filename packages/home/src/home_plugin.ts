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
import { pump } from "./dispatch.ts";
import { applyInventory } from "./adoption.ts";
import { fenceSlices } from "./fencing.ts";
import { findHome, type Home, HomePhase, HOMES } from "./home_state.ts";
import { applyCommitted } from "./records.ts";
import { closeHome, loadRecords, openHome } from "./recovery.ts";
import { composeSnapshot } from "./snapshot.ts";
import { forgetEnded, maintain } from "./upkeep.ts";
import { describeWaiting } from "./work_events.ts";

/** Time between looks at what is late or was lost, in milliseconds. */
const UPKEEP_MS = 100;

/** Time between removals of jobs that ended long ago, in milliseconds. */
const FORGET_MS = 5_000;

const HOME_PREFIX = homeUnit("");

/** Keeps the homes of teams: queues, asks for room, follows each job. */
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
      kernel.registerCommand(OWNERSHIP_CHANGED, refence, Normal),
      ...registerJournal(kernel),
      kernel.registerCommand(
        PEER_MESSAGE_RECEIVED,
        ({ from, message }, update) => receive(update, from, message),
        Normal,
      ),
      kernel.registerCommand(
        COMPOSE_HEARTBEAT,
        (draft, update) => describeWaiting(update, draft),
        Normal,
      ),
      kernel.registerPeriodic({ intervalMs: UPKEEP_MS, run: upkeep }),
      kernel.registerPeriodic({ intervalMs: FORGET_MS, run: forget }),
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
          pump(update, home);
        }),
      Normal,
    ),
    kernel.registerCommand(
      JOURNAL_COMMITTED,
      ({ team, epoch, records }, update) =>
        withHome(update, { team, epoch }, (home) => {
          applyCommitted(update, home, records);
          pump(update, home);
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

/** Acts on the home unless it is of another epoch. */
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
      pumpTeam(update, message.team);
      break;
    case PeerMessageKind.HomeInventory:
      withAddressed(
        update,
        message,
        (home) => applyInventory(update, home, message),
      );
      break;
    case PeerMessageKind.RoomAnswer:
      withAddressed(
        update,
        message,
        (home) => applyAnswers(update, home, message),
      );
      break;
    case PeerMessageKind.TaskEvents:
      withAddressed(
        update,
        message,
        (home) => applyEvents(update, home, message),
      );
      break;
    default:
      break;
  }
}

function withAddressed(
  update: Update,
  { team, homeEpoch }: { readonly team: string; readonly homeEpoch: number },
  act: (home: Home) => void,
): void {
  withHome(update, { team, epoch: homeEpoch }, (home) => {
    if (home.phase !== HomePhase.Loading) {
      act(home);
      pump(update, home);
    }
  });
}

function pumpTeam(update: Update, team: string): void {
  const home = findHome(update, team);
  if (home !== undefined) {
    pump(update, home);
  }
}

function refence(_changed: unknown, update: Update): void {
  for (const home of update.write(HOMES).homes.values()) {
    if (home.phase !== HomePhase.Loading) {
      fenceSlices(update, home);
    }
  }
}

function upkeep(update: Update): void {
  for (const home of update.write(HOMES).homes.values()) {
    if (home.phase !== HomePhase.Loading) {
      maintain(update, home);
      pump(update, home);
    }
  }
}

function forget(update: Update): void {
  for (const home of update.write(HOMES).homes.values()) {
    forgetEnded(update, home);
  }
}

registerPlugin({
  name: "home",
  roles: [Role.Scheduler],
  create: () => new HomePlugin(),
});

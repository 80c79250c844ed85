/** The commands that scenarios consist of. */
import { ZoneState } from "@mustardweir/model";
import { Point } from "../point.ts";
import { type Cluster, PLATFORM } from "../simulation/cluster.ts";
import { type Command, CommandKind } from "./command.ts";
import {
  grantKey,
  raceEdits,
  removeInstance,
  setCeiling,
  setZone,
  withdrawKey,
} from "./edits.ts";
import {
  addNetworkFaults,
  addStoreFaults,
  markTargetLeaving,
  pause,
  plannedStop,
  RECONNECT_MS,
  replace,
  silence,
} from "./faults.ts";
import { pickFrom, pickNode, pickWorker } from "./picks.ts";
import {
  cancelWave,
  foreignCalls,
  resubmit,
  statusWave,
  submit,
} from "./work.ts";

/** How often a kind of command is drawn, and what it does. */
export interface CommandRule {
  /** Frequency of the command relative to the others. */
  readonly weight: number;
  /** Points that the command exercises; drawn more often for them. */
  readonly points: readonly Point[];
  readonly run: (cluster: Cluster, command: Command) => void;
}

/** The rules of all kinds of commands. */
export const COMMANDS: Readonly<Record<CommandKind, CommandRule>> = {
  [CommandKind.Submit]: {
    weight: 24,
    points: Object.values(Point),
    run: (cluster, command) => submit(cluster, command, true),
  },
  [CommandKind.SubmitNonIdempotent]: {
    weight: 10,
    points: [Point.AtMostOnce, Point.SingleRun, Point.TrueRefusal],
    run: (cluster, command) => submit(cluster, command, false),
  },
  [CommandKind.Repeat]: {
    weight: 8,
    points: [Point.SingleRun, Point.AtMostOnce, Point.OwnAnswer],
    run: resubmit,
  },
  [CommandKind.CancelWave]: {
    weight: 6,
    points: [Point.OwnAnswer, Point.TrueRefusal],
    run: cancelWave,
  },
  [CommandKind.StatusWave]: {
    weight: 4,
    points: [Point.OwnAnswer, Point.TrueRefusal],
    run: statusWave,
  },
  [CommandKind.ForeignCalls]: {
    weight: 3,
    points: [Point.TeamKey],
    run: foreignCalls,
  },
  [CommandKind.GrantKey]: {
    weight: 3,
    points: [Point.KeyWithdrawal, Point.TeamKey],
    run: grantKey,
  },
  [CommandKind.WithdrawKey]: {
    weight: 5,
    points: [Point.KeyWithdrawal, Point.TeamKey],
    run: withdrawKey,
  },
  [CommandKind.RacingEdits]: {
    weight: 4,
    points: [Point.ConfigurationInForce],
    run: raceEdits,
  },
  [CommandKind.Drain]: {
    weight: 7,
    points: [Point.ZoneDrain],
    run: (cluster, command) => setZone(cluster, command, ZoneState.Draining),
  },
  [CommandKind.Return]: {
    weight: 4,
    points: [],
    run: (cluster, command) => setZone(cluster, command, ZoneState.Open),
  },
  [CommandKind.LowerCeiling]: {
    weight: 5,
    points: [Point.TeamCeiling],
    run: (cluster, command) =>
      setCeiling(cluster, command, 1 + command.other % 4),
  },
  [CommandKind.RaiseCeiling]: {
    weight: 2,
    points: [],
    run: (cluster, command) => setCeiling(cluster, command, 12),
  },
  [CommandKind.RemoveInstance]: {
    weight: 3,
    points: [Point.LeavingTarget],
    run: removeInstance,
  },
  [CommandKind.TargetLeaves]: {
    weight: 4,
    points: [Point.LeavingTarget],
    run: markTargetLeaving,
  },
  [CommandKind.Kill]: {
    weight: 6,
    points: [Point.SingleRun, Point.AtMostOnce],
    run: (cluster, { pick }) => cluster.kill(pickNode(cluster, pick)),
  },
  [CommandKind.Pause]: {
    weight: 6,
    points: [Point.SingleRun, Point.AtMostOnce, Point.TrueRefusal],
    run: pause,
  },
  [CommandKind.Resume]: {
    weight: 3,
    points: [],
    run: (cluster) => cluster.nodes.forEach((node) => node.resume()),
  },
  [CommandKind.Replace]: {
    weight: 6,
    points: [Point.SingleRun, Point.AtMostOnce],
    run: replace,
  },
  [CommandKind.PlannedStop]: {
    weight: 6,
    points: [Point.GracefulStop],
    run: plannedStop,
  },
  [CommandKind.TableSlow]: {
    weight: 4,
    points: [Point.ConfigurationInForce],
    run: (cluster, { forMs }) =>
      addStoreFaults(cluster, { slowMs: 50 + forMs / 4 }),
  },
  [CommandKind.TableDown]: {
    weight: 4,
    points: [Point.ZoneDrain, Point.ConfigurationInForce],
    run: (cluster) => addStoreFaults(cluster, { down: true }),
  },
  [CommandKind.TableAnswersLost]: {
    weight: 4,
    points: [Point.ConfigurationInForce, Point.AtMostOnce],
    run: (cluster) => addStoreFaults(cluster, { repliesLost: 0.4 }),
  },
  [CommandKind.TableLateWrites]: {
    weight: 3,
    points: [Point.ConfigurationInForce],
    run: (cluster) => addStoreFaults(cluster, { lateWrites: 0.4 }),
  },
  [CommandKind.TableHeals]: {
    weight: 6,
    points: [Point.ZoneDrain],
    run: (cluster) =>
      addStoreFaults(cluster, {
        slowMs: 0,
        down: false,
        repliesLost: 0,
        lateWrites: 0,
      }),
  },
  [CommandKind.MessagesLate]: {
    weight: 5,
    points: [Point.OwnAnswer, Point.SingleRun],
    run: (cluster, { forMs }) =>
      addNetworkFaults(cluster, { lateMs: 20 + forMs / 6 }),
  },
  [CommandKind.MessagesDoubled]: {
    weight: 5,
    points: [Point.OwnAnswer, Point.SingleRun, Point.AtMostOnce],
    run: (cluster) => addNetworkFaults(cluster, { duplicated: 0.4 }),
  },
  [CommandKind.MessagesLost]: {
    weight: 4,
    points: [Point.OwnAnswer, Point.TrueRefusal],
    run: (cluster) => addNetworkFaults(cluster, { lost: 0.2 }),
  },
  [CommandKind.MessagesHeal]: {
    weight: 5,
    points: [],
    run: (cluster) =>
      addNetworkFaults(cluster, { lateMs: 0, duplicated: 0, lost: 0 }),
  },
  [CommandKind.ConnectionSilent]: {
    weight: 6,
    points: [
      Point.OwnAnswer,
      Point.SingleRun,
      Point.TrueRefusal,
      Point.ZoneDrain,
    ],
    run: silence,
  },
  [CommandKind.PlatformConnectionSilent]: {
    weight: 4,
    points: [Point.ZoneDrain, Point.KeyWithdrawal, Point.ConfigurationInForce],
    run: (cluster, { pick, forMs }) => {
      cluster.recordFault();
      const nodeId = pickNode(cluster, pick);
      cluster.network.silence(nodeId, PLATFORM, RECONNECT_MS + forMs);
    },
  },
  [CommandKind.WorkerFailsEverything]: {
    weight: 3,
    points: [Point.AtMostOnce],
    run: (cluster, { pick }) => {
      cluster.recordFault();
      pickWorker(cluster, pick).state.setFaults({ failEverything: true });
    },
  },
  [CommandKind.WorkerLies]: {
    weight: 2,
    points: [Point.InstanceCapacity],
    run: (cluster, { pick }) => {
      cluster.recordFault();
      pickWorker(cluster, pick).state.setFaults({ lieFactor: 0.1 });
    },
  },
  [CommandKind.WorkerRestarts]: {
    weight: 4,
    points: [Point.SingleRun, Point.AtMostOnce],
    run: (cluster, { pick }) => {
      cluster.recordFault();
      pickWorker(cluster, pick).restart();
    },
  },
  [CommandKind.WorkerHeals]: {
    weight: 2,
    points: [],
    run: (cluster, { pick }) =>
      pickWorker(cluster, pick).state.setFaults({
        failEverything: false,
        lieFactor: 1,
      }),
  },
  [CommandKind.TwoFaults]: {
    weight: 5,
    points: [],
    run: twoFaults,
  },
};

/** Faults of which `CommandKind.TwoFaults` injects two at once. */
const PAIRED_FAULTS: readonly CommandKind[] = [
  CommandKind.Kill,
  CommandKind.Pause,
  CommandKind.ConnectionSilent,
  CommandKind.TableDown,
  CommandKind.TableAnswersLost,
  CommandKind.MessagesLate,
  CommandKind.MessagesDoubled,
  CommandKind.WorkerRestarts,
];

/** Runs the simulation for the command's delay, then executes it. */
export function runCommand(cluster: Cluster, command: Command): void {
  cluster.run(command.gapMs);
  COMMANDS[command.kind].run(cluster, command);
}

function twoFaults(cluster: Cluster, command: Command): void {
  const { pick, other } = command;
  const first = pickFrom(PAIRED_FAULTS, pick)!;
  const second = pickFrom(PAIRED_FAULTS, other)!;
  COMMANDS[first].run(cluster, command);
  COMMANDS[second].run(cluster, { ...command, pick: other, other: pick });
}

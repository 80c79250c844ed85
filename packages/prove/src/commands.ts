import {
  type Configuration,
  ConfigurationSection,
  JobKind,
  type JobSpec,
  jobSpecSchema,
  Priority,
  ZoneState,
} from "@mustardweir/model";
import { CallerCallKind } from "@mustardweir/protocol";
import {
  FLEET,
  INITIAL_CONFIGURATION,
  OPERATOR_KEY,
  teamKeyId,
  TEAMS,
  ZONES,
} from "./fleet.ts";
import { type Call, payloadOf, type Submission } from "./history.ts";
import { Point } from "./point.ts";
import { type Cluster, PLATFORM } from "./simulation/cluster.ts";

/** What a run of the model may do. */
export enum CommandKind {
  Submit = "submit",
  SubmitOnce = "submit-non-idempotent",
  Repeat = "repeat-through-other-entry",
  CancelWave = "cancel-wave",
  StatusWave = "status-wave",
  ForeignCalls = "foreign-calls",
  GrantKey = "grant-key",
  WithdrawKey = "withdraw-key",
  RacingEdits = "racing-edits",
  Drain = "drain",
  Return = "return",
  LowerCeiling = "lower-ceiling",
  RaiseCeiling = "raise-ceiling",
  RemoveInstance = "remove-instance",
  TargetLeaves = "target-leaves",
  Kill = "kill",
  Pause = "pause",
  Resume = "resume",
  Replace = "replace",
  PlannedStop = "planned-stop",
  TableSlow = "table-slow",
  TableDown = "table-down",
  TableAnswersLost = "table-answers-lost",
  TableLateWrites = "table-late-writes",
  TableHeals = "table-heals",
  MessagesLate = "messages-late",
  MessagesDoubled = "messages-doubled",
  MessagesLost = "messages-lost",
  MessagesHeal = "messages-heal",
  Silence = "connection-silent",
  StoreSilence = "platform-connection-silent",
  WorkerFails = "worker-fails-everything",
  WorkerLies = "worker-lies",
  WorkerRestarts = "worker-restarts",
  WorkerHeals = "worker-heals",
  TwoFaults = "two-faults",
}

/** One command; the numbers choose among what there is. */
export interface Command {
  readonly kind: CommandKind;
  /** Time before the command, in milliseconds. */
  readonly gapMs: number;
  readonly pick: number;
  readonly other: number;
  /** How long, in milliseconds, where that is of matter. */
  readonly forMs: number;
}

export interface CommandRule {
  /** How often the command is drawn, relative to the others. */
  readonly weight: number;
  /** Points that the command is about; drawn more often for them. */
  readonly points: readonly Point[];
  readonly run: (cluster: Cluster, command: Command) => void;
}

/** Ways of a link to go silent: one, or both. */
const SILENT_WAYS = 3;

/** A fresh connection takes the place of a silent one within this time. */
const RECONNECT_MS = 3_000;

/** Most calls of one wave. */
const WAVE = 8;

/** Requests may run this long, other work this many times longer. */
const MAX_REQUEST_MS = 2_500;
const LONG_FACTOR = 3;

/** Names of submissions that come with a key of nobody begin with this. */
export const STRANGER = "stranger";

const SIZES = [1, 1, 2, 4];

export const COMMANDS: Readonly<Record<CommandKind, CommandRule>> = {
  [CommandKind.Submit]: {
    weight: 24,
    points: Object.values(Point),
    run: (cluster, command) => submit(cluster, command, true),
  },
  [CommandKind.SubmitOnce]: {
    weight: 10,
    points: [Point.AtMostOnce, Point.SingleRun, Point.TrueRefusal],
    run: (cluster, command) => submit(cluster, command, false),
  },
  [CommandKind.Repeat]: {
    weight: 8,
    points: [Point.SingleRun, Point.AtMostOnce, Point.OwnAnswer],
    run: repeat,
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
    run: leaveTarget,
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
      spoilStore(cluster, { slowMs: 50 + forMs / 4 }),
  },
  [CommandKind.TableDown]: {
    weight: 4,
    points: [Point.ZoneDrain, Point.ConfigurationInForce],
    run: (cluster) => spoilStore(cluster, { down: true }),
  },
  [CommandKind.TableAnswersLost]: {
    weight: 4,
    points: [Point.ConfigurationInForce, Point.AtMostOnce],
    run: (cluster) => spoilStore(cluster, { answersLost: 0.4 }),
  },
  [CommandKind.TableLateWrites]: {
    weight: 3,
    points: [Point.ConfigurationInForce],
    run: (cluster) => spoilStore(cluster, { lateWrites: 0.4 }),
  },
  [CommandKind.TableHeals]: {
    weight: 6,
    points: [Point.ZoneDrain],
    run: (cluster) =>
      spoilStore(cluster, {
        slowMs: 0,
        down: false,
        answersLost: 0,
        lateWrites: 0,
      }),
  },
  [CommandKind.MessagesLate]: {
    weight: 5,
    points: [Point.OwnAnswer, Point.SingleRun],
    run: (cluster, { forMs }) =>
      spoilNetwork(cluster, { lateMs: 20 + forMs / 6 }),
  },
  [CommandKind.MessagesDoubled]: {
    weight: 5,
    points: [Point.OwnAnswer, Point.SingleRun, Point.AtMostOnce],
    run: (cluster) => spoilNetwork(cluster, { doubled: 0.4 }),
  },
  [CommandKind.MessagesLost]: {
    weight: 4,
    points: [Point.OwnAnswer, Point.TrueRefusal],
    run: (cluster) => spoilNetwork(cluster, { lost: 0.2 }),
  },
  [CommandKind.MessagesHeal]: {
    weight: 5,
    points: [],
    run: (cluster) => spoilNetwork(cluster, { lateMs: 0, doubled: 0, lost: 0 }),
  },
  [CommandKind.Silence]: {
    weight: 6,
    points: [
      Point.OwnAnswer,
      Point.SingleRun,
      Point.TrueRefusal,
      Point.ZoneDrain,
    ],
    run: silence,
  },
  [CommandKind.StoreSilence]: {
    weight: 4,
    points: [Point.ZoneDrain, Point.KeyWithdrawal, Point.ConfigurationInForce],
    run: (cluster, { pick, forMs }) => {
      cluster.noteFault();
      const nodeId = pickNode(cluster, pick);
      cluster.network.silence(nodeId, PLATFORM, RECONNECT_MS + forMs);
    },
  },
  [CommandKind.WorkerFails]: {
    weight: 3,
    points: [Point.AtMostOnce],
    run: (cluster, { pick }) => {
      cluster.noteFault();
      pickWorker(cluster, pick).state.setFaults({ failEverything: true });
    },
  },
  [CommandKind.WorkerLies]: {
    weight: 2,
    points: [Point.InstanceCapacity],
    run: (cluster, { pick }) => {
      cluster.noteFault();
      pickWorker(cluster, pick).state.setFaults({ lieFactor: 0.1 });
    },
  },
  [CommandKind.WorkerRestarts]: {
    weight: 4,
    points: [Point.SingleRun, Point.AtMostOnce],
    run: (cluster, { pick }) => {
      cluster.noteFault();
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

/** Faults that may come at the same moment. */
const PAIRED: readonly CommandKind[] = [
  CommandKind.Kill,
  CommandKind.Pause,
  CommandKind.Silence,
  CommandKind.TableDown,
  CommandKind.TableAnswersLost,
  CommandKind.MessagesLate,
  CommandKind.MessagesDoubled,
  CommandKind.WorkerRestarts,
];

/** Waits for the command's time and carries it out. */
export function runCommand(cluster: Cluster, command: Command): void {
  cluster.run(command.gapMs);
  COMMANDS[command.kind].run(cluster, command);
}

/** An edit against the newest version there is. */
export function editLatest(
  cluster: Cluster,
  section: ConfigurationSection,
  change: (current: Configuration) => unknown,
  entryIndex = 0,
): Call {
  const { configuration } = cluster.history.versions.at(-1)!;
  return cluster.call({
    kind: CallerCallKind.EditConfiguration,
    section,
    body: change(configuration),
    ifMatch: configuration.version,
  }, { entryId: pickEntry(cluster, entryIndex), keyId: OPERATOR_KEY });
}

/** Hands work in with the team's key, or hands it in again. */
export function handIn(
  cluster: Cluster,
  submission: Submission,
  options: { readonly entryIndex: number; readonly keyIndex: number },
): void {
  const { name, team, spec } = submission;
  cluster.call({ kind: CallerCallKind.Submit, idempotencyKey: name, spec }, {
    entryId: pickEntry(cluster, options.entryIndex),
    keyId: teamKeyId(team, options.keyIndex),
    team,
    submission,
  });
}

function submit(cluster: Cluster, command: Command, idempotent: boolean): void {
  const { submissions } = cluster.history;
  const { pick, other, forMs } = command;
  const team = TEAMS[pick % TEAMS.length]!;
  const name = `${team}-job-${submissions.size}`;
  const spec = composeSpec(command, { name, idempotent });
  const submission = { name, team, spec };
  submissions.set(name, submission);
  handIn(cluster, submission, { entryIndex: other, keyIndex: forMs });
}

function composeSpec(
  { pick, other, forMs }: Command,
  options: { readonly name: string; readonly idempotent: boolean },
): JobSpec {
  const kinds = Object.values(JobKind);
  const kind = kinds[Math.floor(pick / 2) % kinds.length]!;
  const isRequest = kind === JobKind.Request;
  const runMs = isRequest ? forMs % MAX_REQUEST_MS : forMs * LONG_FACTOR;
  const cpu = SIZES[other % SIZES.length]!;
  return jobSpecSchema.parse({
    kind,
    name: options.name,
    cpu,
    memoryMb: cpu * 1024,
    tasks: isRequest ? 1 : 1 + other % 4,
    priority: pick % 5 === 0 ? Priority.Urgent : Priority.Normal,
    idempotent: options.idempotent,
    ...(other % 7 === 0 ? { startWithinMs: 500 + forMs } : {}),
    payload: payloadOf(options.name, runMs),
  });
}

function repeat(cluster: Cluster, { pick, other, forMs }: Command): void {
  const submissions = [...cluster.history.submissions.values()]
    .filter(({ name }) => !name.startsWith(STRANGER));
  const submission = pickFrom(submissions, pick);
  if (submission !== undefined) {
    handIn(cluster, submission, { entryIndex: other, keyIndex: forMs });
  }
}

/** Jobs that callers were told of, with their teams. */
function knownJobs(cluster: Cluster): [string, string][] {
  const jobs = new Map<string, string>();
  for (const { answers, team } of cluster.history.calls.values()) {
    for (const { answer } of answers) {
      if (answer.kind === "job" && team !== undefined) {
        jobs.set(answer.status.jobId, team);
      }
    }
  }
  return [...jobs];
}

function cancelWave(cluster: Cluster, command: Command): void {
  const jobs = knownJobs(cluster);
  const first = command.pick % Math.max(jobs.length, 1);
  for (const [jobId, team] of jobs.slice(first, first + WAVE)) {
    callTeam(cluster, command, {
      team,
      call: { kind: CallerCallKind.Cancel, jobId },
    });
  }
}

function statusWave(cluster: Cluster, command: Command): void {
  for (const [jobId, team] of knownJobs(cluster).slice(-WAVE)) {
    callTeam(cluster, command, {
      team,
      call: { kind: CallerCallKind.Status, jobId },
    });
  }
  TEAMS.forEach((team) =>
    callTeam(cluster, command, { team, call: { kind: CallerCallKind.List } })
  );
  cluster.call({ kind: CallerCallKind.ReadConfiguration }, {
    entryId: pickEntry(cluster, command.other),
    keyId: OPERATOR_KEY,
  });
}

interface TeamCall {
  readonly team: string;
  readonly call: Call["call"];
}

function callTeam(
  cluster: Cluster,
  { other, forMs }: Command,
  { team, call }: TeamCall,
): void {
  const keyId = teamKeyId(team, forMs);
  cluster.call(call, { entryId: pickEntry(cluster, other), keyId, team });
}

/** Calls on another team's jobs, and with a key that never was granted. */
function foreignCalls(cluster: Cluster, command: Command): void {
  for (const [jobId, owner] of knownJobs(cluster).slice(-WAVE)) {
    const team = TEAMS.find((name) => name !== owner)!;
    callTeam(cluster, command, {
      team,
      call: { kind: CallerCallKind.Cancel, jobId },
    });
  }
  const { submissions } = cluster.history;
  const team = TEAMS[command.pick % TEAMS.length]!;
  const name = `${STRANGER}-job-${submissions.size}`;
  const spec = composeSpec(command, { name, idempotent: true });
  const submission = { name, team, spec };
  submissions.set(name, submission);
  cluster.call({ kind: CallerCallKind.Submit, idempotencyKey: name, spec }, {
    entryId: pickEntry(cluster, command.other),
    keyId: STRANGER,
    submission,
  });
}

function grantKey(cluster: Cluster, { pick, other }: Command): void {
  const key = pickFrom(INITIAL_CONFIGURATION.keys, pick)!;
  editLatest(cluster, ConfigurationSection.Keys, ({ keys }) => [
    ...keys.filter(({ id }) => id !== key.id),
    key,
  ], other);
}

/** Withdraws a key and goes on using it. */
function withdrawKey(cluster: Cluster, { pick, other }: Command): void {
  const { id, team } = pickFrom(INITIAL_CONFIGURATION.keys, pick)!;
  editLatest(
    cluster,
    ConfigurationSection.Keys,
    ({ keys }) => keys.filter((key) => key.id !== id),
    other,
  );
  for (const delayMs of [500, 2_500, 4_500, 7_000, 10_000]) {
    cluster.clock.after(delayMs, () => {
      const entryId = pickEntry(cluster, other + delayMs / 500);
      const call = { kind: CallerCallKind.List } as const;
      cluster.call(call, { entryId, keyId: id, team });
    });
  }
}

/** Two edits of one version, through both entries. */
function raceEdits(cluster: Cluster, { pick }: Command): void {
  const zone = ZONES[pick % ZONES.length]!;
  editLatest(cluster, ConfigurationSection.Zones, ({ zones }) => ({
    ...zones,
    [zone]: ZoneState.Draining,
  }), 0);
  editLatest(
    cluster,
    ConfigurationSection.Rules,
    ({ rules }) => withCeiling(rules, TEAMS[pick % TEAMS.length]!, 3),
    1,
  );
}

function setZone(
  cluster: Cluster,
  { pick, other }: Command,
  state: ZoneState,
): void {
  const zone = ZONES[pick % ZONES.length]!;
  editLatest(cluster, ConfigurationSection.Zones, ({ zones }) => ({
    ...zones,
    [zone]: state,
  }), other);
}

function setCeiling(cluster: Cluster, command: Command, tasks: number): void {
  const team = TEAMS[command.pick % TEAMS.length]!;
  editLatest(
    cluster,
    ConfigurationSection.Rules,
    ({ rules }) => withCeiling(rules, team, tasks),
    command.other,
  );
}

function withCeiling(
  rules: Configuration["rules"],
  name: string,
  tasks: number,
): Configuration["rules"] {
  const teams = rules.teams.map((team) =>
    team.name === name ? { ...team, ceiling: { tasks } } : team
  );
  return { ...rules, teams };
}

function removeInstance(cluster: Cluster, { pick, other }: Command): void {
  const { instanceId } = pickFrom(FLEET, pick)!;
  editLatest(cluster, ConfigurationSection.Inventory, ({ inventory }) => ({
    availabilityZones: inventory.availabilityZones.map((zone) => ({
      ...zone,
      racks: zone.racks.map((rack) => ({
        ...rack,
        instances: rack.instances.filter(({ id }) => id !== instanceId),
      })),
    })),
  }), other);
}

/** The platform's list shows the instance as leaving. */
function leaveTarget(cluster: Cluster, { pick }: Command): void {
  const { instanceId } = pickFrom(FLEET, pick)!;
  cluster.leaveTarget(instanceId);
}

function pause(cluster: Cluster, { pick, forMs }: Command): void {
  const nodeId = pickNode(cluster, pick);
  const node = cluster.nodes.get(nodeId)!;
  cluster.pause(nodeId);
  cluster.clock.after(1_000 + forMs * 2, () => node.resume());
}

function replace(cluster: Cluster, { pick, forMs }: Command): void {
  const nodeId = pickNode(cluster, pick);
  cluster.kill(nodeId);
  cluster.clock.after(forMs, () => cluster.start(nodeId));
}

function plannedStop(cluster: Cluster, { pick, forMs }: Command): void {
  const nodeId = pickNode(cluster, pick);
  cluster.stop(nodeId);
  cluster.clock.after(10_500 + forMs, () => cluster.start(nodeId));
}

function spoilStore(
  cluster: Cluster,
  faults: Partial<Cluster["store"]["faults"]>,
): void {
  cluster.noteFault();
  cluster.spoilStore({ ...cluster.store.faults, ...faults });
}

function spoilNetwork(
  cluster: Cluster,
  faults: Partial<Cluster["network"]["faults"]>,
): void {
  cluster.noteFault();
  cluster.network.faults = { ...cluster.network.faults, ...faults };
}

/** A connection loses one direction for good; a fresh one comes later. */
function silence(cluster: Cluster, { pick, other, forMs }: Command): void {
  cluster.noteFault();
  const ends = [
    ...cluster.schedulerIds,
    ...cluster.entryIds,
    ...cluster.workers.keys(),
  ];
  const from = cluster.schedulerIds[pick % cluster.schedulerIds.length]!;
  const to = ends[other % ends.length]!;
  const silentMs = RECONNECT_MS + forMs;
  const way = pick % SILENT_WAYS;
  if (way !== 0) {
    cluster.network.silence(from, to, silentMs);
  }
  if (way !== 1) {
    cluster.network.silence(to, from, silentMs);
  }
}

function twoFaults(cluster: Cluster, command: Command): void {
  const { pick, other } = command;
  const first = pickFrom(PAIRED, pick)!;
  const second = pickFrom(PAIRED, other)!;
  COMMANDS[first].run(cluster, command);
  COMMANDS[second].run(cluster, { ...command, pick: other, other: pick });
}

function pickNode(cluster: Cluster, pick: number): string {
  return pickFrom([...cluster.schedulerIds, ...cluster.entryIds], pick)!;
}

function pickEntry(cluster: Cluster, pick: number): string {
  return pickFrom(cluster.entryIds, Math.floor(pick))!;
}

function pickWorker(cluster: Cluster, pick: number) {
  return pickFrom([...cluster.workers.values()], pick)!;
}

function pickFrom<Item>(
  items: readonly Item[],
  pick: number,
): Item | undefined {
  return items[pick % Math.max(items.length, 1)];
}

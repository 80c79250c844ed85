import { CONFIGURATION } from "@mustardweir/configuration";
import {
  ConfigurationSection,
  EMPTY_CONFIGURATION,
  jobSpecSchema,
  RefusalReason,
  refuse,
} from "@mustardweir/model";
import {
  answerPayload,
  type CallerCall,
  CallerCallKind,
  HomeReplyKind,
} from "@mustardweir/protocol";
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { Bench, STATUS } from "./hand_driven_test.ts";

function submit(spec: Record<string, unknown> = {}): CallerCall {
  return {
    kind: CallerCallKind.Submit,
    idempotencyKey: "k",
    spec: jobSpecSchema.parse({
      kind: "batch",
      cpu: 1,
      memoryMb: 100,
      ...spec,
    }),
  };
}

const CANCEL = { kind: CallerCallKind.Cancel, jobId: "storefront.1" } as const;
const LIST = { kind: CallerCallKind.List } as const;
const READ = { kind: CallerCallKind.ReadConfiguration } as const;
const JOB = { kind: HomeReplyKind.Status, status: STATUS } as const;
const EDIT = {
  kind: CallerCallKind.EditConfiguration,
  section: ConfigurationSection.Zones,
  body: {},
  ifMatch: 1,
} as const;
const OVERLOADED = {
  kind: HomeReplyKind.Refused,
  refusal: refuse(RefusalReason.Overloaded, { message: "Full" }),
} as const;

function status(jobId: string): CallerCall {
  return { kind: CallerCallKind.Status, jobId };
}

interface CheckCase {
  readonly name: string;
  readonly key: string;
  readonly call: CallerCall;
  /** Absent when the call is passed on or answered at once. */
  readonly refusal?: RefusalReason;
  readonly message?: string;
}

const { NotPermitted, Impossible } = RefusalReason;

const CHECK_CASES: readonly CheckCase[] = [
  { name: "a submitter's job", key: "s1", call: submit() },
  { name: "a submitter's job status", key: "s1", call: status("storefront.1") },
  { name: "an operator's cancel", key: "o1", call: CANCEL },
  { name: "a viewer's read of the configuration", key: "v1", call: READ },
  { name: "the settings' key", key: "boot", call: READ },
  {
    name: "an operator's list of a named team",
    key: "o1",
    call: { ...LIST, team: "imaging" },
  },
  {
    name: "an unknown key",
    key: "nobody",
    call: submit(),
    refusal: RefusalReason.UnknownKey,
  },
  {
    name: "an expired key",
    key: "old",
    call: READ,
    refusal: RefusalReason.KeyWithdrawn,
    message: "The key old expired at 1970-01-01T00:00:01.000Z",
  },
  {
    name: "a job with a viewer's key",
    key: "v1",
    call: submit(),
    refusal: NotPermitted,
    message: "A viewer's key may not submit jobs",
  },
  {
    name: "a job with an operator's key",
    key: "o1",
    call: submit(),
    refusal: NotPermitted,
    message: "An operator's key may not submit jobs",
  },
  {
    name: "a job of a team that may not submit",
    key: "c1",
    call: submit(),
    refusal: NotPermitted,
  },
  {
    name: "another team's job",
    key: "s1",
    call: status("imaging.1"),
    refusal: NotPermitted,
  },
  {
    name: "another team's list",
    key: "s1",
    call: { ...LIST, team: "imaging" },
    refusal: NotPermitted,
  },
  {
    name: "a viewer's cancel",
    key: "v1",
    call: CANCEL,
    refusal: NotPermitted,
  },
  {
    name: "a submitter's look at the fleet",
    key: "s1",
    call: { kind: CallerCallKind.Fleet },
    refusal: NotPermitted,
    message: "A submitter's key may not read the fleet",
  },
  {
    name: "a submitter's read of the configuration",
    key: "s1",
    call: READ,
    refusal: NotPermitted,
  },
  {
    name: "a viewer's edit",
    key: "v1",
    call: EDIT,
    refusal: NotPermitted,
  },
  {
    name: "a list without a team",
    key: "o1",
    call: LIST,
    refusal: RefusalReason.Malformed,
    message: "Name a team",
  },
  {
    name: "a job id without a team",
    key: "o1",
    call: status("x"),
    refusal: RefusalReason.Malformed,
    message: '"x" is no job\'s id; those begin with the team and a full stop',
  },
  {
    name: "a submitter's job id without a team",
    key: "s1",
    call: status("x"),
    refusal: RefusalReason.Malformed,
    message: '"x" is no job\'s id; those begin with the team and a full stop',
  },
  {
    name: "a list of an unknown team",
    key: "o1",
    call: { ...LIST, team: "nobody" },
    refusal: RefusalReason.NotFound,
  },
  {
    name: "a task larger than every instance",
    key: "s1",
    call: submit({ cpu: 65 }),
    refusal: Impossible,
    message: "A task is larger than every instance of the fleet",
  },
  {
    name: "a gang larger than the fleet",
    key: "s1",
    call: submit({ kind: "gang", memoryMb: 262_144, tasks: 3 }),
    refusal: Impossible,
    message: "The gang is larger than the fleet",
  },
  {
    name: "a gang larger than the team's ceiling",
    key: "s1",
    call: submit({ kind: "gang", cpu: 51, tasks: 2 }),
    refusal: Impossible,
    message: "The job needs 102 cpu; the team's ceiling is 100",
  },
  {
    name: "a batch whose tasks fit the ceiling one by one",
    key: "s1",
    call: submit({ cpu: 51, tasks: 2 }),
  },
];

interface BenchCase {
  readonly name: string;
  readonly act: (bench: Bench) => void;
  readonly targets?: readonly string[];
  readonly answers?: readonly string[];
  readonly stopped?: boolean;
  readonly pendingLimit?: number;
}

const ROUTING_CASES: readonly BenchCase[] = [
  {
    name: "answers with the home's first reply only",
    act: (bench) => {
      bench.own("s1", 1);
      bench.request("s1", submit());
      bench.reply(0, JOB);
      bench.reply(0, OVERLOADED);
    },
    targets: ["s1"],
    answers: ["job"],
  },
  {
    name: "brings crossed replies to their own callers",
    act: (bench) => {
      bench.own("s1", 1);
      bench.request("s1", submit());
      bench.request("s1", LIST);
      const list = { kind: HomeReplyKind.List, jobs: [] } as never;
      bench.reply(1, list);
      bench.reply(0, JOB);
    },
    targets: ["s1", "s1"],
    answers: ["jobs", "job"],
  },
  {
    name: "sends a call again with growing pauses",
    act: (bench) => {
      bench.own("s1", 1);
      bench.request("s1", submit());
      bench.advance(2_200);
    },
    targets: ["s1", "s1", "s1"],
  },
  {
    name: "sends a call to a new owner at once",
    act: (bench) => {
      bench.own("s1", 1);
      bench.request("s1", submit());
      bench.own("s2", 2);
      bench.advance(100);
    },
    targets: ["s1", "s2"],
  },
  {
    name: "believes a heartbeat with a newer epoch",
    act: (bench) => {
      bench.own("s1", 1);
      const owned = [{ unit: "home/storefront", epoch: 3 }];
      bench.hear({ nodeId: "s3", owned });
      bench.request("s1", submit());
    },
    targets: ["s3"],
  },
  {
    name: "follows the hint of a node that does not hold the home",
    act: (bench) => {
      bench.own("s1", 1);
      bench.request("s1", submit());
      bench.reply(0, { kind: HomeReplyKind.NotOwner, owner: "s2" });
      bench.reply(1, JOB);
    },
    targets: ["s1", "s2"],
    answers: ["job"],
  },
  {
    name: "asks another live scheduler when there is no hint",
    act: (bench) => {
      bench.own("s1", 1);
      bench.hear({ nodeId: "s4" });
      bench.hear({ nodeId: "s2", stopping: true });
      bench.request("s1", submit());
      bench.reply(0, { kind: HomeReplyKind.NotOwner });
      bench.advance(300);
    },
    targets: ["s1", "s4"],
  },
  {
    name: "ignores a late hint of a node it no longer asks",
    act: (bench) => {
      bench.own("s1", 1);
      bench.request("s1", submit());
      bench.own("s2", 2);
      bench.advance(100);
      bench.reply(0, { kind: HomeReplyKind.NotOwner, owner: "s9" }, "s1");
    },
    targets: ["s1", "s2"],
  },
  {
    name: "says that a call without a home did not run",
    act: (bench) => {
      bench.request("s1", submit(), 1_000);
      bench.advance(1_000);
    },
    answers: ["no-home not-run"],
  },
  {
    name: "waits for a home",
    act: (bench) => {
      bench.request("s1", submit(), 1_000);
      bench.own("s1", 1);
      bench.advance(100);
    },
    targets: ["s1"],
  },
  {
    name: "does not know what became of a job that was sent",
    act: (bench) => {
      bench.own("s1", 1);
      bench.request("s1", submit(), 500);
      bench.advance(500);
    },
    targets: ["s1"],
    answers: ["deadline-passed unknown"],
  },
  {
    name: "says that a read without an answer changed nothing",
    act: (bench) => {
      bench.own("s1", 1);
      bench.request("s1", status("storefront.1"), 500);
      bench.advance(500);
    },
    targets: ["s1"],
    answers: ["deadline-passed not-run"],
  },
  {
    name: "passes a refusal on when the call was sent once",
    act: (bench) => {
      bench.own("s1", 1);
      bench.request("s1", submit());
      bench.reply(0, OVERLOADED);
    },
    targets: ["s1"],
    answers: ["overloaded not-run"],
  },
  {
    name: "does not say 'not run' when an earlier copy may have been accepted",
    act: (bench) => {
      bench.own("s1", 1);
      bench.request("s1", submit(), 1_000);
      bench.own("s2", 2);
      bench.advance(100);
      bench.reply(1, OVERLOADED);
      bench.advance(900);
    },
    targets: ["s1", "s2", "s2"],
    answers: ["deadline-passed unknown"],
  },
  {
    name: "forgets a read whose caller left",
    act: (bench) => {
      bench.own("s1", 1);
      bench.leave(bench.request("s1", status("storefront.1")));
      bench.advance(2_000);
    },
    targets: ["s1"],
  },
  {
    name: "goes on with a job whose caller left",
    act: (bench) => {
      bench.own("s1", 1);
      bench.leave(bench.request("s1", submit()));
      bench.advance(800);
    },
    targets: ["s1", "s1"],
  },
  {
    name: "refuses what its table can't hold",
    pendingLimit: 1,
    act: (bench) => {
      bench.request("s1", submit());
      bench.request("s1", submit());
    },
    answers: ["overloaded not-run"],
  },
  {
    name: "keeps a team to its part of the table",
    pendingLimit: 400,
    act: (bench) => {
      for (let n = 0; n < 241; n += 1) {
        bench.request("s1", submit());
      }
      bench.request("o1", { ...LIST, team: "imaging" });
    },
    answers: ["overloaded not-run"],
  },
  {
    name: "stops sending again when the team's budget is spent",
    act: (bench) => {
      bench.own("s1", 1);
      for (let n = 0; n < 100; n += 1) {
        bench.request("s1", LIST);
      }
      bench.advance(800);
      bench.sent.splice(0, 100);
      expect(bench.sent.length).to.be.within(50, 60);
      bench.sent.length = 0;
    },
  },
  {
    name: "runs nothing while the configuration is not confirmed",
    act: (bench) => {
      bench.own("s1", 1);
      bench.confirm(-3_001);
      bench.request("s1", submit());
    },
    answers: ["configuration-unconfirmed not-run"],
  },
  {
    name: "takes the settings' key before the first version",
    act: (bench) => {
      bench.kernel.update(0, (update) => {
        update.write(CONFIGURATION).current = EMPTY_CONFIGURATION;
      });
      bench.request("boot", READ);
      bench.request("o1", READ);
    },
    answers: ["configuration", "unknown-key not-run"],
  },
  {
    name: "finishes what waits before it stops",
    act: (bench) => {
      bench.own("s1", 1);
      bench.request("s1", submit());
      bench.stop();
      bench.request("s1", submit());
      bench.advance(100);
      expect(bench.isStopped).to.equal(false);
      bench.reply(0, JOB);
      bench.advance(100);
    },
    targets: ["s1"],
    answers: ["stopping not-run", "job"],
    stopped: true,
  },
  {
    name: "passes on edits and their answers",
    act: (bench) => {
      bench.request("o1", EDIT);
      bench.request("o1", EDIT);
      const [first, second] = bench.edits;
      const stale = refuse(RefusalReason.StaleEdit, { message: "Stale" });
      bench.run(
        second!.replyTo.command,
        answerPayload(second!.replyTo, err(stale)),
      );
      bench.run(first!.replyTo.command, answerPayload(first!.replyTo, ok(2)));
    },
    answers: ["stale-edit not-run", "edited"],
  },
];

const ONE = { cpuMillis: 1, memoryMb: 1, accelerators: 0, slots: 1 };
const TEN = { cpuMillis: 10, memoryMb: 10, accelerators: 0, slots: 10 };

const STANDING_CASES = [
  {
    name: "adds up what live schedulers tell",
    slices: ["tx-a/0"],
    age: 0,
    used: [2, 0, 0],
    missing: [],
  },
  {
    name: "names slices that nobody tells of",
    slices: [],
    age: 0,
    used: [2, 0, 0],
    missing: ["tx-a/0"],
  },
  {
    name: "leaves out schedulers that are silent",
    slices: ["tx-a/0"],
    age: 2_000,
    used: [0, 0, 0],
    missing: ["tx-a/0"],
  },
] as const;

const HOME = { unit: "home/storefront", epoch: 1 };

/** What `storefront` waits for, by what one scheduler tells. */
const WAITING_CASES = [
  { name: "what the home tells", owned: [HOME], told: 4, age: 0, waiting: 4 },
  { name: "0 for an idle home", owned: [HOME], age: 0, waiting: 0 },
  { name: "nothing without a home", owned: [], age: 0, waiting: undefined },
  {
    name: "nothing without a home, though a slice runs its work",
    owned: [],
    told: 0,
    age: 0,
    waiting: undefined,
  },
  {
    name: "nothing when the home's owner is silent",
    owned: [HOME],
    age: 2_000,
    waiting: undefined,
  },
] as const;

describe("Checks of a call", () => {
  for (const { name, key, call, refusal, message } of CHECK_CASES) {
    it(`${refusal ? "refuses" : "takes"} ${name}`, () => {
      const bench = new Bench();
      bench.request(key, call);
      const answer = bench.lastAnswer;
      const found = answer && "refusal" in answer ? answer.refusal : undefined;
      expect(found?.reason).to.equal(refusal);
      if (message !== undefined) {
        expect(found?.message).to.equal(message);
      }
    });
  }
});

describe("Routing", () => {
  for (const testCase of ROUTING_CASES) {
    it(testCase.name, () => {
      const bench = new Bench({ pendingLimit: testCase.pendingLimit });
      testCase.act(bench);
      expect(bench.targets).to.deep.equal(testCase.targets ?? []);
      expect(bench.answers).to.deep.equal(testCase.answers ?? []);
      expect(bench.isStopped).to.equal(testCase.stopped ?? false);
    });
  }
});

describe("Team standings", () => {
  for (const { name, slices, age, used, missing } of STANDING_CASES) {
    it(name, () => {
      const bench = new Bench();
      for (const nodeId of ["s1", "s2"]) {
        bench.hear({
          nodeId,
          usage: [{ team: "storefront", used: ONE }],
          slices: slices.map((sliceId) => ({
            sliceId,
            epoch: 1,
            free: TEN,
            total: TEN,
            waiting: 0,
          })),
        });
      }
      bench.now += age;
      bench.confirm();
      bench.request("v1", { kind: CallerCallKind.Teams });
      const answer = bench.lastAnswer;
      const standing = answer && "teams" in answer ? answer : undefined;
      const cpus = standing?.teams.map((team) => team.used.cpuMillis);
      expect(cpus).to.deep.equal(used);
      const parts = standing?.teams.map((team) => team.entitlement);
      expect(parts).to.deep.equal([0.6, 0.2, 0.2]);
      expect(standing?.missingSlices).to.deep.equal(missing);
    });
  }
});

describe("Queues of teams", () => {
  for (const { name, owned, age, waiting, ...rest } of WAITING_CASES) {
    it(`show ${name}`, () => {
      const bench = new Bench();
      const usage = "told" in rest
        ? [{ team: "storefront", used: ONE, waiting: rest.told }]
        : [];
      bench.hear({ nodeId: "s1", owned, usage });
      bench.now += age;
      bench.confirm();
      bench.request("v1", { kind: CallerCallKind.Teams });
      const answer = bench.lastAnswer;
      const teams = answer && "teams" in answer ? answer.teams : [];
      expect(teams[0]?.waiting).to.equal(waiting);
    });
  }
});

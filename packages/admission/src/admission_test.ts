import { CONFIGURATION } from "@mustardweir/configuration";
import {
  ConfigurationSection,
  EMPTY_CONFIGURATION,
  jobSpecSchema,
  RefusalReason,
  refuse,
} from "@mustardweir/model";
import {
  type CallerCall,
  CallerCallKind,
  createEffectReply,
  HomeReplyKind,
} from "@mustardweir/protocol";
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { STATUS, TestHarness } from "./harness_test.ts";

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
  /** Absent if the call is forwarded or answered immediately. */
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
    name: "a submitter's read of the fleet",
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
    message:
      '"x" is not a job id; a job id begins with the team and a full stop',
  },
  {
    name: "a submitter's job id without a team",
    key: "s1",
    call: status("x"),
    refusal: RefusalReason.Malformed,
    message:
      '"x" is not a job id; a job id begins with the team and a full stop',
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

interface HarnessCase {
  readonly name: string;
  readonly act: (harness: TestHarness) => void;
  readonly targets?: readonly string[];
  readonly answers?: readonly string[];
  readonly stopped?: boolean;
  readonly pendingLimit?: number;
}

const ROUTING_CASES: readonly HarnessCase[] = [
  {
    name: "answers with the home's first reply only",
    act: (harness) => {
      harness.setOwner("s1", 1);
      harness.request("s1", submit());
      harness.reply(0, JOB);
      harness.reply(0, OVERLOADED);
    },
    targets: ["s1"],
    answers: ["job"],
  },
  {
    name: "returns replies that arrive out of order to their own callers",
    act: (harness) => {
      harness.setOwner("s1", 1);
      harness.request("s1", submit());
      harness.request("s1", LIST);
      const list = { kind: HomeReplyKind.List, jobs: [] } as never;
      harness.reply(1, list);
      harness.reply(0, JOB);
    },
    targets: ["s1", "s1"],
    answers: ["jobs", "job"],
  },
  {
    name: "sends a call again with growing delays",
    act: (harness) => {
      harness.setOwner("s1", 1);
      harness.request("s1", submit());
      harness.advance(2_200);
    },
    targets: ["s1", "s1", "s1"],
  },
  {
    name: "sends a call to a new owner at once",
    act: (harness) => {
      harness.setOwner("s1", 1);
      harness.request("s1", submit());
      harness.setOwner("s2", 2);
      harness.advance(100);
    },
    targets: ["s1", "s2"],
  },
  {
    name: "routes by a heartbeat with a newer epoch than the ownership table",
    act: (harness) => {
      harness.setOwner("s1", 1);
      const owned = [{ unit: "home/storefront", epoch: 3 }];
      harness.receiveHeartbeat({ nodeId: "s3", owned });
      harness.request("s1", submit());
    },
    targets: ["s3"],
  },
  {
    name: "follows the redirect of a node that does not own the home",
    act: (harness) => {
      harness.setOwner("s1", 1);
      harness.request("s1", submit());
      harness.reply(0, { kind: HomeReplyKind.NotOwner, owner: "s2" });
      harness.reply(1, JOB);
    },
    targets: ["s1", "s2"],
    answers: ["job"],
  },
  {
    name: "sends to another live scheduler when a reply names no owner",
    act: (harness) => {
      harness.setOwner("s1", 1);
      harness.receiveHeartbeat({ nodeId: "s4" });
      harness.receiveHeartbeat({ nodeId: "s2", stopping: true });
      harness.request("s1", submit());
      harness.reply(0, { kind: HomeReplyKind.NotOwner });
      harness.advance(300);
    },
    targets: ["s1", "s4"],
  },
  {
    name: "ignores a late redirect of a node that it no longer sends to",
    act: (harness) => {
      harness.setOwner("s1", 1);
      harness.request("s1", submit());
      harness.setOwner("s2", 2);
      harness.advance(100);
      harness.reply(0, { kind: HomeReplyKind.NotOwner, owner: "s9" }, "s1");
    },
    targets: ["s1", "s2"],
  },
  {
    name: "reports that a call without a home has not run",
    act: (harness) => {
      harness.request("s1", submit(), 1_000);
      harness.advance(1_000);
    },
    answers: ["no-home not-run"],
  },
  {
    name: "sends a call once its home has an owner",
    act: (harness) => {
      harness.request("s1", submit(), 1_000);
      harness.setOwner("s1", 1);
      harness.advance(100);
    },
    targets: ["s1"],
  },
  {
    name: "reports an unknown outcome when a sent job gets no reply",
    act: (harness) => {
      harness.setOwner("s1", 1);
      harness.request("s1", submit(), 500);
      harness.advance(500);
    },
    targets: ["s1"],
    answers: ["deadline-passed unknown"],
  },
  {
    name: "reports that a read without a reply has not run",
    act: (harness) => {
      harness.setOwner("s1", 1);
      harness.request("s1", status("storefront.1"), 500);
      harness.advance(500);
    },
    targets: ["s1"],
    answers: ["deadline-passed not-run"],
  },
  {
    name: "passes on a refusal when the call was sent once",
    act: (harness) => {
      harness.setOwner("s1", 1);
      harness.request("s1", submit());
      harness.reply(0, OVERLOADED);
    },
    targets: ["s1"],
    answers: ["overloaded not-run"],
  },
  {
    name:
      "does not report 'not run' when an earlier copy may have been accepted",
    act: (harness) => {
      harness.setOwner("s1", 1);
      harness.request("s1", submit(), 1_000);
      harness.setOwner("s2", 2);
      harness.advance(100);
      harness.reply(1, OVERLOADED);
      harness.advance(900);
    },
    targets: ["s1", "s2", "s2"],
    answers: ["deadline-passed unknown"],
  },
  {
    name: "drops a read whose caller disconnected",
    act: (harness) => {
      harness.setOwner("s1", 1);
      harness.disconnectCaller(harness.request("s1", status("storefront.1")));
      harness.advance(2_000);
    },
    targets: ["s1"],
  },
  {
    name: "keeps sending a job whose caller disconnected",
    act: (harness) => {
      harness.setOwner("s1", 1);
      harness.disconnectCaller(harness.request("s1", submit()));
      harness.advance(800);
    },
    targets: ["s1", "s1"],
  },
  {
    name: "refuses calls beyond the limit of pending calls",
    pendingLimit: 1,
    act: (harness) => {
      harness.request("s1", submit());
      harness.request("s1", submit());
    },
    answers: ["overloaded not-run"],
  },
  {
    name: "limits a team to its share of the pending calls",
    pendingLimit: 400,
    act: (harness) => {
      for (let n = 0; n < 241; n += 1) {
        harness.request("s1", submit());
      }
      harness.request("o1", { ...LIST, team: "imaging" });
    },
    answers: ["overloaded not-run"],
  },
  {
    name: "stops resending when the team's retry budget is spent",
    act: (harness) => {
      harness.setOwner("s1", 1);
      for (let n = 0; n < 100; n += 1) {
        harness.request("s1", LIST);
      }
      harness.advance(800);
      harness.sent.splice(0, 100);
      expect(harness.sent.length).to.be.within(50, 60);
      harness.sent.length = 0;
    },
  },
  {
    name: "refuses calls while the configuration is not confirmed",
    act: (harness) => {
      harness.setOwner("s1", 1);
      harness.confirm(-3_001);
      harness.request("s1", submit());
    },
    answers: ["configuration-unconfirmed not-run"],
  },
  {
    name: "accepts only the settings' key before the first version",
    act: (harness) => {
      harness.kernel.update(0, (update) => {
        update.write(CONFIGURATION).current = EMPTY_CONFIGURATION;
      });
      harness.request("boot", READ);
      harness.request("o1", READ);
    },
    answers: ["configuration", "unknown-key not-run"],
  },
  {
    name: "answers the pending calls before it stops",
    act: (harness) => {
      harness.setOwner("s1", 1);
      harness.request("s1", submit());
      harness.stop();
      harness.request("s1", submit());
      harness.advance(100);
      expect(harness.isStopped).to.equal(false);
      harness.reply(0, JOB);
      harness.advance(100);
    },
    targets: ["s1"],
    answers: ["stopping not-run", "job"],
    stopped: true,
  },
  {
    name: "forwards edits and returns their results",
    act: (harness) => {
      harness.request("o1", EDIT);
      harness.request("o1", EDIT);
      const [first, second] = harness.edits;
      const stale = refuse(RefusalReason.StaleEdit, { message: "Stale" });
      harness.run(
        second!.replyTo.command,
        createEffectReply(second!.replyTo, err(stale)),
      );
      harness.run(
        first!.replyTo.command,
        createEffectReply(first!.replyTo, ok(2)),
      );
    },
    answers: ["stale-edit not-run", "edited"],
  },
];

const ONE = { cpuMillis: 1, memoryMb: 1, accelerators: 0, slots: 1 };
const TEN = { cpuMillis: 10, memoryMb: 10, accelerators: 0, slots: 10 };

const TEAMS_CASES = [
  {
    name: "adds up the usage that live schedulers report",
    slices: ["tx-a/0"],
    age: 0,
    used: [2, 0, 0],
    missing: [],
  },
  {
    name: "lists slices that no scheduler reports",
    slices: [],
    age: 0,
    used: [2, 0, 0],
    missing: ["tx-a/0"],
  },
  {
    name: "omits schedulers whose heartbeats are overdue",
    slices: ["tx-a/0"],
    age: 2_000,
    used: [0, 0, 0],
    missing: ["tx-a/0"],
  },
] as const;

const HOME = { unit: "home/storefront", epoch: 1 };

/** Waiting tasks of `storefront`, depending on one scheduler's heartbeat. */
const WAITING_CASES = [
  {
    name: "the number that the home reports",
    owned: [HOME],
    reported: 4,
    age: 0,
    waiting: 4,
  },
  { name: "0 for an idle home", owned: [HOME], age: 0, waiting: 0 },
  { name: "unknown without a home", owned: [], age: 0, waiting: undefined },
  {
    name: "unknown without a home, even if a slice runs tasks of the team",
    owned: [],
    reported: 0,
    age: 0,
    waiting: undefined,
  },
  {
    name: "unknown when the heartbeat of the home's owner is overdue",
    owned: [HOME],
    age: 2_000,
    waiting: undefined,
  },
] as const;

describe("Admission of a call", () => {
  for (const { name, key, call, refusal, message } of CHECK_CASES) {
    it(`${refusal ? "refuses" : "accepts"} ${name}`, () => {
      const harness = new TestHarness();
      harness.request(key, call);
      const answer = harness.lastAnswer;
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
      const harness = new TestHarness({ pendingLimit: testCase.pendingLimit });
      testCase.act(harness);
      expect(harness.targets).to.deep.equal(testCase.targets ?? []);
      expect(harness.answers).to.deep.equal(testCase.answers ?? []);
      expect(harness.isStopped).to.equal(testCase.stopped ?? false);
    });
  }
});

describe("Teams call", () => {
  for (const { name, slices, age, used, missing } of TEAMS_CASES) {
    it(name, () => {
      const harness = new TestHarness();
      for (const nodeId of ["s1", "s2"]) {
        harness.receiveHeartbeat({
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
      harness.now += age;
      harness.confirm();
      harness.request("v1", { kind: CallerCallKind.Teams });
      const answer = harness.lastAnswer;
      const teamsAnswer = answer && "teams" in answer ? answer : undefined;
      const cpus = teamsAnswer?.teams.map((team) => team.used.cpuMillis);
      expect(cpus).to.deep.equal(used);
      const parts = teamsAnswer?.teams.map((team) => team.entitlement);
      expect(parts).to.deep.equal([0.6, 0.2, 0.2]);
      expect(teamsAnswer?.missingSlices).to.deep.equal(missing);
    });
  }
});

describe("Waiting tasks of a team", () => {
  for (const { name, owned, age, waiting, ...rest } of WAITING_CASES) {
    it(`are ${name}`, () => {
      const harness = new TestHarness();
      const usage = "reported" in rest
        ? [{ team: "storefront", used: ONE, waiting: rest.reported }]
        : [];
      harness.receiveHeartbeat({ nodeId: "s1", owned, usage });
      harness.now += age;
      harness.confirm();
      harness.request("v1", { kind: CallerCallKind.Teams });
      const answer = harness.lastAnswer;
      const teams = answer && "teams" in answer ? answer.teams : [];
      expect(teams[0]?.waiting).to.equal(waiting);
    });
  }
});

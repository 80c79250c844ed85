import { CONFIGURATION } from "@mustardweir/configuration";
import {
  WORK_ACCEPTED,
  WORK_ENDED,
  WORK_STARTED,
  type WorkEvent,
} from "@mustardweir/home";
import {
  CommandPriority,
  createCommand,
  Kernel,
  Role,
} from "@mustardweir/kernel";
import { PEERS, UNIT_ACQUIRED, UNIT_LOST } from "@mustardweir/membership";
import {
  EMPTY_CONFIGURATION,
  EndReason,
  JobKind,
  Outcome,
  rulesSchema,
} from "@mustardweir/model";
import {
  type BurnRecord,
  type BurnReport,
  BurnWindow,
  EffectKind,
  type EffectReply,
  NODE_IDENTITY,
  type NodeEffect,
  PEER_MESSAGE_RECEIVED,
  PeerMessageKind,
  replyTo,
} from "@mustardweir/protocol";
import { expect } from "chai";
import { BurnCollectorPlugin, COLLECT_BURN } from "./mod.ts";
import { BurnRecorderPlugin } from "./recorder/mod.ts";
import { renderBurnHtml, renderBurnText } from "./render/mod.ts";

const MINUTE_MS = 60_000;
const DAY_MS = 24 * 60 * MINUTE_MS;
const COLLECTED = createCommand<EffectReply<string, BurnReport>>("collected");

const RULES = rulesSchema.parse({
  teams: [{ name: "imaging", share: 1 }, { name: "ledger", share: 1 }],
  objectives: [
    { team: "imaging", kind: "batch", startWithinMs: 1_000, target: 0.9 },
  ],
});

/** A burn recorder whose clock and job events the test controls. */
class RecorderHarness {
  readonly #kernel = new Kernel({ plugins: [new BurnRecorderPlugin()] });
  now = 0;

  constructor() {
    const current = { ...EMPTY_CONFIGURATION, version: 4, rules: RULES };
    this.#kernel.registerState(CONFIGURATION, { current, confirmedAt: 0 });
  }

  accept(jobId: string): void {
    this.#kernel.run(WORK_ACCEPTED, workOf(jobId), this.now);
  }

  start(jobId: string): void {
    this.#kernel.run(WORK_STARTED, workOf(jobId), this.now);
  }

  end(jobId: string, outcome: Outcome, reason: EndReason): void {
    const payload = { ...workOf(jobId), outcome, reason };
    this.#kernel.run(WORK_ENDED, payload, this.now);
  }

  acquire(team = "imaging"): void {
    const owned = {
      epoch: 1,
      version: 1,
      acquiredAt: this.now,
      isFirstOwner: true,
    };
    this.#kernel.run(UNIT_ACQUIRED, { unit: `home/${team}`, owned }, this.now);
  }

  lose(team = "imaging"): void {
    this.#kernel.run(UNIT_LOST, { unit: `home/${team}` }, this.now);
  }

  /** Accepts a job, starts it after `waitMs` and completes it. */
  complete(jobId: string, waitMs: number): void {
    this.accept(jobId);
    this.now += waitMs;
    this.start(jobId);
    this.end(jobId, Outcome.Done, EndReason.Completed);
  }

  record(requestId: string): BurnRecord {
    this.#kernel.advance(this.now);
    const effects = this.#kernel.run(PEER_MESSAGE_RECEIVED, {
      from: "e1",
      message: { kind: PeerMessageKind.BurnRequest, requestId },
    }, this.now) as NodeEffect[];
    const sent = effects.find((effect) => effect.kind === EffectKind.SendPeer);
    return sent?.message as BurnRecord;
  }
}

function workOf(jobId: string): WorkEvent {
  return { team: "imaging", jobId, kind: JobKind.Batch };
}

/** A burn collector whose clock and peer messages the test controls. */
class CollectorHarness {
  readonly #kernel = new Kernel({ plugins: [new BurnCollectorPlugin()] });
  readonly reports: BurnReport[] = [];
  now = 100_000;

  constructor(schedulers: Readonly<Record<string, number>>) {
    const kernel = this.#kernel;
    const identity = {
      nodeId: "e1",
      role: Role.Entry,
      incarnation: "i",
      availabilityZone: "tx-a",
      seedPeers: [],
    };
    const current = { ...EMPTY_CONFIGURATION, version: 4, rules: RULES };
    kernel.registerService(NODE_IDENTITY, identity);
    kernel.registerState(CONFIGURATION, { current, confirmedAt: 0 });
    kernel.registerState(PEERS, { views: new Map() });
    kernel.registerCommand(
      COLLECTED,
      ({ result }) => void this.reports.push(result),
      CommandPriority.Normal,
    );
    kernel.update(0, (update) => {
      for (const [nodeId, silentMs] of Object.entries(schedulers)) {
        update.write(PEERS).views.set(nodeId, {
          heartbeat: { nodeId } as never,
          receivedAt: this.now - silentMs,
        });
      }
    });
  }

  /** Requests a report; returns the schedulers sent a request for records. */
  request(team?: string): string[] {
    const request = { team, replyTo: replyTo(COLLECTED, "r") };
    return findRecipients(this.#kernel.run(COLLECT_BURN, request, this.now));
  }

  receiveRecord(from: string, message: BurnRecord): void {
    this.#kernel.run(PEER_MESSAGE_RECEIVED, { from, message }, this.now);
  }

  /** Advances the clock; returns the schedulers sent a request for records. */
  advance(ms: number): string[] {
    this.now += ms;
    return findRecipients(this.#kernel.advance(this.now));
  }
}

function findRecipients(effects: readonly unknown[]): string[] {
  return (effects as readonly NodeEffect[]).flatMap((effect) =>
    effect.kind === EffectKind.SendPeer ? [effect.to] : []
  );
}

const REQUEST_ID = "e1/i/1";

function windowOf(report: BurnReport, window: BurnWindow) {
  return report.series[0]?.windows.find((w) => w.window === window);
}

interface RecordCase {
  readonly name: string;
  readonly act: (recorder: RecorderHarness) => void;
  readonly window?: BurnWindow;
  readonly figures: object;
}

const RECORD_CASES: readonly RecordCase[] = [
  {
    name: "jobs that start in time and late",
    act: (r) => [10, 500, 1_500].forEach((ms) => r.complete(`${ms}`, ms)),
    figures: { inTime: 2, late: 1, accepted: 3, completed: 3 },
  },
  {
    name: "a waiting job that is overdue",
    act: (r) => {
      r.accept("a");
      r.now += 2_000;
    },
    figures: { inTime: 0, late: 1, accepted: 1 },
  },
  {
    name: "a waiting job that is not overdue",
    act: (r) => r.accept("a"),
    figures: { inTime: 0, late: 0, accepted: 1 },
  },
  {
    name: "a job whose deadline passed before its start",
    act: (r) => {
      r.accept("a");
      r.end("a", Outcome.NotRun, EndReason.DeadlinePassed);
    },
    figures: { late: 1, notRun: 1 },
  },
  {
    name: "a job cancelled before its start",
    act: (r) => {
      r.accept("a");
      r.now += 5_000;
      r.end("a", Outcome.NotRun, EndReason.Cancelled);
    },
    figures: { late: 0, cancelled: 1, notRun: 0 },
  },
  {
    name: "a job that an earlier owner accepted",
    act: (r) => {
      r.start("a");
      r.end("a", Outcome.Unknown, EndReason.Lost);
    },
    figures: { inTime: 0, late: 0, unmeasured: 1, unknown: 1 },
  },
  {
    name: "waiting jobs of a home that this node no longer owns",
    act: (r) => {
      r.accept("a");
      r.now += 5_000;
      r.lose();
    },
    figures: { late: 0, accepted: 1 },
  },
  {
    name: "a job older than the window",
    act: (r) => {
      r.complete("a", 10);
      r.now += 7 * MINUTE_MS;
    },
    window: BurnWindow.FiveMinutes,
    figures: { inTime: 0, accepted: 0 },
  },
  {
    name: "a job within the longest window",
    act: (r) => {
      r.complete("a", 10);
      r.now += 2 * DAY_MS;
    },
    window: BurnWindow.ThreeDays,
    figures: { inTime: 1, accepted: 1 },
  },
  {
    name: "a job older than the longest window",
    act: (r) => {
      r.complete("a", 10);
      r.now += 4 * DAY_MS;
    },
    window: BurnWindow.ThreeDays,
    figures: { inTime: 0, accepted: 0 },
  },
];

describe("Burn record of a scheduler", () => {
  for (const testCase of RECORD_CASES) {
    it(`counts ${testCase.name}`, () => {
      const recorder = new RecorderHarness();
      recorder.acquire();
      testCase.act(recorder);
      const collector = new CollectorHarness({ s1: 0 });
      collector.request();
      collector.receiveRecord("s1", recorder.record(REQUEST_ID));
      const { window = BurnWindow.OneHour, figures } = testCase;
      const found = windowOf(collector.reports[0]!, window);
      expect(found).to.deep.include(figures);
    });
  }
});

interface CollectCase {
  readonly name: string;
  /** Time since the last heartbeat of each scheduler, in milliseconds. */
  readonly schedulers: Readonly<Record<string, number>>;
  readonly replying: readonly string[];
  readonly asked: readonly string[];
  readonly inTime: number;
  readonly silent: readonly string[];
  readonly isUnreadable?: boolean;
}

const COLLECT_CASES: readonly CollectCase[] = [
  {
    name: "adds up the records of all schedulers",
    schedulers: { s1: 0, s2: 100 },
    replying: ["s1", "s2"],
    asked: ["s1", "s2"],
    inTime: 2,
    silent: [],
  },
  {
    name: "lists a scheduler whose heartbeats have stopped",
    schedulers: { s1: 0, s2: 60_000 },
    replying: ["s1"],
    asked: ["s1"],
    inTime: 1,
    silent: ["s2"],
  },
  {
    name: "lists a scheduler that does not reply",
    schedulers: { s1: 0, s2: 0 },
    replying: ["s1"],
    asked: ["s1", "s2"],
    inTime: 1,
    silent: ["s2"],
  },
  {
    name: "omits a record that can't be decoded",
    schedulers: { s1: 0 },
    replying: ["s1"],
    asked: ["s1"],
    inTime: 0,
    silent: ["s1"],
    isUnreadable: true,
  },
  {
    name: "returns a report without any scheduler",
    schedulers: {},
    replying: [],
    asked: [],
    inTime: 0,
    silent: [],
  },
];

describe("Burn report", () => {
  for (const testCase of COLLECT_CASES) {
    it(testCase.name, () => {
      const collector = new CollectorHarness(testCase.schedulers);
      expect(collector.request()).to.deep.equal(testCase.asked);
      for (const nodeId of testCase.replying) {
        const recorder = new RecorderHarness();
        recorder.acquire();
        recorder.complete(nodeId, 10);
        const record = recorder.record(REQUEST_ID);
        const series = record.series.map((one) => ({ ...one, waiting: "x" }));
        const sent = testCase.isUnreadable ? { ...record, series } : record;
        collector.receiveRecord(nodeId, sent);
        collector.receiveRecord(nodeId, sent);
      }
      collector.advance(2_100);
      const report = collector.reports[0]!;
      expect(collector.reports.length).to.equal(1);
      expect(windowOf(report, BurnWindow.OneHour)?.inTime)
        .to.equal(testCase.inTime);
      expect(report.silent.map(({ nodeId }) => nodeId))
        .to.deep.equal(testCase.silent);
      expect(report.gaps.map(({ team }) => team)).to.include("ledger");
    });
  }

  it("shares one collection among concurrent requests", () => {
    const collector = new CollectorHarness({ s1: 0 });
    const asked = [1, 2, 3].flatMap(() => collector.request());
    collector.receiveRecord("s1", new RecorderHarness().record(REQUEST_ID));
    expect(collector.request()).to.deep.equal([]);
    expect([asked, collector.reports.length]).to.deep.equal([["s1"], 3]);
    expect(collector.advance(1_000)).to.deep.equal(["s1"]);
    collector.advance(2_100);
    expect(collector.reports.length).to.equal(4);
  });

  it("restricts a report to the requested team", () => {
    const collector = new CollectorHarness({});
    collector.request("ledger");
    const [report] = collector.reports;
    expect(report?.series).to.deep.equal([]);
    expect(report?.gaps.map(({ team }) => team)).to.deep.equal(["ledger"]);
  });
});

describe("Rendering of a burn report", () => {
  const collector = new CollectorHarness({ s1: 0, "<s2>": 9_000 });
  const recorder = new RecorderHarness();
  recorder.acquire();
  recorder.complete("a", 10);
  recorder.complete("b", 4_000);
  collector.request();
  collector.receiveRecord("s1", recorder.record(REQUEST_ID));
  const reply = {
    ...collector.reports[0]!,
    asOf: "2030-01-01T00:00:00.000Z",
    configurationVersion: 4,
  };

  const TEXT_CASES: readonly string[] = [
    "imaging batch: 90% start within 1000 ms",
    "error budget left -400%",
    "missing: <s2> did not reply; its last heartbeat was received at 2029-12-31T23:59:51Z",
    "missing: no record of ledger before 2030-01-01T00:00:00Z",
    "as of 2030-01-01T00:00:00.000Z, configuration version 4",
  ];

  for (const part of TEXT_CASES) {
    it(`text includes "${part}"`, () => {
      expect(renderBurnText(reply)).to.include(part);
    });
  }

  const HTML_CASES: readonly {
    readonly name: string;
    readonly pattern: RegExp;
    readonly isFound: boolean;
  }[] = [
    { name: "plots", pattern: /<svg [^>]*>[\s\S]*class="late"/, isFound: true },
    { name: "the missing parts", pattern: /&lt;s2&gt; did not/, isFound: true },
    { name: "node names as markup", pattern: /<s2>/, isFound: false },
    {
      name: "references to external resources",
      pattern: /https?:|src=|href=|url\(|@import|<script/,
      isFound: false,
    },
    {
      name: "values that are not numbers",
      pattern: /NaN|undefined|Infinity/,
      isFound: false,
    },
  ];

  for (const { name, pattern, isFound } of HTML_CASES) {
    it(`HTML ${isFound ? "shows" : "does not contain"} ${name}`, () => {
      expect(pattern.test(renderBurnHtml(reply))).to.equal(isFound);
    });
  }
});

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

/** A scheduler whose jobs are moved by hand. */
class Recorder {
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

  /** A job that waits for `waitMs` and completes. */
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

/** An entry that hears from schedulers by hand. */
class Collector {
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

  /** Asks; returns whom the entry asked. */
  ask(team?: string): string[] {
    const request = { team, replyTo: replyTo(COLLECTED, "r") };
    return askedIn(this.#kernel.run(COLLECT_BURN, request, this.now));
  }

  hear(from: string, message: BurnRecord): void {
    this.#kernel.run(PEER_MESSAGE_RECEIVED, { from, message }, this.now);
  }

  /** Lets time pass; returns whom the entry asked. */
  wait(ms: number): string[] {
    this.now += ms;
    return askedIn(this.#kernel.advance(this.now));
  }
}

function askedIn(effects: readonly unknown[]): string[] {
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
  readonly act: (recorder: Recorder) => void;
  readonly window?: BurnWindow;
  readonly figures: object;
}

const RECORD_CASES: readonly RecordCase[] = [
  {
    name: "jobs in time and late ones",
    act: (r) => [10, 500, 1_500].forEach((ms) => r.complete(`${ms}`, ms)),
    figures: { inTime: 2, late: 1, accepted: 3, completed: 3 },
  },
  {
    name: "a job that is late while it waits",
    act: (r) => {
      r.accept("a");
      r.now += 2_000;
    },
    figures: { inTime: 0, late: 1, accepted: 1 },
  },
  {
    name: "a job that still has time",
    act: (r) => r.accept("a"),
    figures: { inTime: 0, late: 0, accepted: 1 },
  },
  {
    name: "a job that was given up",
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
    name: "a job of an earlier owner",
    act: (r) => {
      r.start("a");
      r.end("a", Outcome.Unknown, EndReason.Lost);
    },
    figures: { inTime: 0, late: 0, unmeasured: 1, unknown: 1 },
  },
  {
    name: "jobs of a home that moved away",
    act: (r) => {
      r.accept("a");
      r.now += 5_000;
      r.lose();
    },
    figures: { late: 0, accepted: 1 },
  },
  {
    name: "work older than the window",
    act: (r) => {
      r.complete("a", 10);
      r.now += 7 * MINUTE_MS;
    },
    window: BurnWindow.FiveMinutes,
    figures: { inTime: 0, accepted: 0 },
  },
  {
    name: "work within the longest window",
    act: (r) => {
      r.complete("a", 10);
      r.now += 2 * DAY_MS;
    },
    window: BurnWindow.ThreeDays,
    figures: { inTime: 1, accepted: 1 },
  },
  {
    name: "work older than the longest window",
    act: (r) => {
      r.complete("a", 10);
      r.now += 4 * DAY_MS;
    },
    window: BurnWindow.ThreeDays,
    figures: { inTime: 0, accepted: 0 },
  },
];

describe("Record of a scheduler", () => {
  for (const testCase of RECORD_CASES) {
    it(`tells of ${testCase.name}`, () => {
      const recorder = new Recorder();
      recorder.acquire();
      testCase.act(recorder);
      const collector = new Collector({ s1: 0 });
      collector.ask();
      collector.hear("s1", recorder.record(REQUEST_ID));
      const { window = BurnWindow.OneHour, figures } = testCase;
      const found = windowOf(collector.reports[0]!, window);
      expect(found).to.deep.include(figures);
    });
  }
});

interface CollectCase {
  readonly name: string;
  /** Time since each scheduler was heard from, in milliseconds. */
  readonly schedulers: Readonly<Record<string, number>>;
  readonly answering: readonly string[];
  readonly asked: readonly string[];
  readonly inTime: number;
  readonly silent: readonly string[];
  readonly isUnreadable?: boolean;
}

const COLLECT_CASES: readonly CollectCase[] = [
  {
    name: "adds up what schedulers tell",
    schedulers: { s1: 0, s2: 100 },
    answering: ["s1", "s2"],
    asked: ["s1", "s2"],
    inTime: 2,
    silent: [],
  },
  {
    name: "names a scheduler that died",
    schedulers: { s1: 0, s2: 60_000 },
    answering: ["s1"],
    asked: ["s1"],
    inTime: 1,
    silent: ["s2"],
  },
  {
    name: "names a scheduler that does not answer",
    schedulers: { s1: 0, s2: 0 },
    answering: ["s1"],
    asked: ["s1", "s2"],
    inTime: 1,
    silent: ["s2"],
  },
  {
    name: "leaves out a record that can't be read",
    schedulers: { s1: 0 },
    answering: ["s1"],
    asked: ["s1"],
    inTime: 0,
    silent: ["s1"],
    isUnreadable: true,
  },
  {
    name: "answers without any scheduler",
    schedulers: {},
    answering: [],
    asked: [],
    inTime: 0,
    silent: [],
  },
];

describe("Burn report", () => {
  for (const testCase of COLLECT_CASES) {
    it(testCase.name, () => {
      const collector = new Collector(testCase.schedulers);
      expect(collector.ask()).to.deep.equal(testCase.asked);
      for (const nodeId of testCase.answering) {
        const recorder = new Recorder();
        recorder.acquire();
        recorder.complete(nodeId, 10);
        const record = recorder.record(REQUEST_ID);
        const series = record.series.map((one) => ({ ...one, waiting: "x" }));
        const told = testCase.isUnreadable ? { ...record, series } : record;
        collector.hear(nodeId, told);
        collector.hear(nodeId, told);
      }
      collector.wait(2_100);
      const report = collector.reports[0]!;
      expect(collector.reports.length).to.equal(1);
      expect(windowOf(report, BurnWindow.OneHour)?.inTime)
        .to.equal(testCase.inTime);
      expect(report.silent.map(({ nodeId }) => nodeId))
        .to.deep.equal(testCase.silent);
      expect(report.gaps.map(({ team }) => team)).to.include("ledger");
    });
  }

  it("asks the schedulers once for many requests", () => {
    const collector = new Collector({ s1: 0 });
    const asked = [1, 2, 3].flatMap(() => collector.ask());
    collector.hear("s1", new Recorder().record(REQUEST_ID));
    expect(collector.ask()).to.deep.equal([]);
    expect([asked, collector.reports.length]).to.deep.equal([["s1"], 3]);
    expect(collector.wait(1_000)).to.deep.equal(["s1"]);
    collector.wait(2_100);
    expect(collector.reports.length).to.equal(4);
  });

  it("shows a submitter its own team only", () => {
    const collector = new Collector({});
    collector.ask("ledger");
    const [report] = collector.reports;
    expect(report?.series).to.deep.equal([]);
    expect(report?.gaps.map(({ team }) => team)).to.deep.equal(["ledger"]);
  });
});

describe("Rendering of a burn report", () => {
  const collector = new Collector({ s1: 0, "<s2>": 9_000 });
  const recorder = new Recorder();
  recorder.acquire();
  recorder.complete("a", 10);
  recorder.complete("b", 4_000);
  collector.ask();
  collector.hear("s1", recorder.record(REQUEST_ID));
  const reply = {
    ...collector.reports[0]!,
    asOf: "2030-01-01T00:00:00.000Z",
    configurationVersion: 4,
  };

  const TEXT_CASES: readonly string[] = [
    "imaging batch: 90% start within 1000 ms",
    "error budget left -400%",
    "missing: <s2> did not answer; it was last heard from at 2029-12-31T23:59:51Z",
    "missing: no record of ledger before 2030-01-01T00:00:00Z",
    "as of 2030-01-01T00:00:00.000Z, configuration version 4",
  ];

  for (const part of TEXT_CASES) {
    it(`text says "${part}"`, () => {
      expect(renderBurnText(reply)).to.include(part);
    });
  }

  const HTML_CASES: readonly {
    readonly name: string;
    readonly pattern: RegExp;
    readonly isFound: boolean;
  }[] = [
    { name: "plots", pattern: /<svg [^>]*>[\s\S]*class="late"/, isFound: true },
    { name: "what is missing", pattern: /&lt;s2&gt; did not/, isFound: true },
    { name: "names as markup", pattern: /<s2>/, isFound: false },
    {
      name: "anything from elsewhere",
      pattern: /https?:|src=|href=|url\(|@import|<script/,
      isFound: false,
    },
    {
      name: "values that are no numbers",
      pattern: /NaN|undefined|Infinity/,
      isFound: false,
    },
  ];

  for (const { name, pattern, isFound } of HTML_CASES) {
    it(`HTML ${isFound ? "shows" : "does not hold"} ${name}`, () => {
      expect(pattern.test(renderBurnHtml(reply))).to.equal(isFound);
    });
  }
});

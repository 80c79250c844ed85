import { expect } from "chai";
import {
  computeBreakdowns,
  Fate,
  Grouping,
  readLogLines,
  summarizeJob,
  TimePart,
} from "./mod.ts";

const JOB = "5c0e7a21d94b36f8";

function line(
  afterMs: number,
  message: string,
  fields: Record<string, string | number | boolean>,
  node = "n1",
): string {
  const time = new Date(1_000_000 + afterMs).toISOString();
  return JSON.stringify({ time, level: "info", node, message, fields });
}

const ACCEPTED = line(0, "Job accepted", {
  job: JOB,
  queue: "plans",
  team: "search",
  tookMs: 10,
});
const STARTED = line(60, "Start ordered", {
  task: `${JOB}.0.0.0`,
  attempt: 1,
  worker: "w1",
});
const GRANTED = line(40, "Permits granted", {
  stage: `${JOB}.0.0`,
  asked: 4,
  good: 2,
});
const ENDED = line(900, "Job ended", {
  job: JOB,
  queue: "plans",
  state: "completed",
  ageMs: 910,
});

function attemptEnded(afterMs: number, end: string, ranMs: number): string {
  return line(afterMs, "Attempt ended", {
    task: `${JOB}.0.0.0`,
    attempt: 1,
    worker: "w1",
    end,
    ranMs,
  });
}

const SUMMARY_CASES = [
  {
    name: "a job that completed",
    log: [ACCEPTED, GRANTED, STARTED, attemptEnded(890, "done", 800), ENDED],
    fate: Fate.Completed,
    cause: "Completed after 910 ms: 60 ms until the first start",
  },
  {
    name: "a completed job with a failed attempt and an owner change",
    log: [
      ACCEPTED,
      STARTED,
      attemptEnded(200, "failed", 140),
      line(300, "Domain taken over", { epoch: 2 }, "n2"),
      ENDED,
    ],
    fate: Fate.Completed,
    cause: "Completed after 910 ms: 60 ms until the first start, " +
      "1 attempts failed, the domain changed its owner meanwhile",
  },
  {
    name: "a job that failed",
    log: [
      ACCEPTED,
      attemptEnded(200, "failed", 140),
      line(210, "Job ended", { job: JOB, state: "failed" }),
    ],
    fate: Fate.Failed,
    cause: `Task ${JOB}.0.0.0 failed too often; ` +
      "1 failures on 1 workers in these logs",
  },
  {
    name: "a refused submission",
    log: [line(0, "Job refused", { job: JOB, reason: "too large" })],
    fate: Fate.Refused,
    cause: "Refused: too large",
  },
  {
    name: "a submission that was turned away",
    log: [
      line(0, "Job turned away", {
        job: JOB,
        reason: "The job would wait until it is of no use",
        waitMs: 9_000,
        figuresAgeMs: 400,
      }),
    ],
    fate: Fate.Refused,
    cause: "Turned away: The job would wait until it is of no use; " +
      "9000 ms by figures of 400 ms before",
  },
  {
    name: "a submission with unknown outcome, as the store did not reply",
    log: [
      line(0, "Call given up", { job: JOB, step: "writing", uncertain: true }),
    ],
    fate: Fate.Refused,
    cause: "The store did not answer n1 while writing; the job may exist",
  },
  {
    name: "a job that no worker may run",
    log: [
      ACCEPTED,
      line(30, "Permits granted", { stage: `${JOB}.0.0`, asked: 9, good: 0 }),
    ],
    fate: Fate.Open,
    cause: "It waits: the placement policy allows none of the 9 workers that " +
      "were asked about",
  },
  {
    name: "a job that runs",
    log: [ACCEPTED, STARTED],
    fate: Fate.Open,
    cause: "It has not ended; the last log message is: Start ordered",
  },
  {
    name: "a job that no line refers to",
    log: [line(0, "Job accepted", { job: "00" })],
    fate: Fate.NotLogged,
    cause: "No line names the job: it reached no node whose log is here",
  },
];

describe("Summary of a job", () => {
  for (const { name, log, fate, cause } of SUMMARY_CASES) {
    it(`describes ${name}`, () => {
      const { lines } = readLogLines(log.join("\n"));
      const summary = summarizeJob(lines, JOB);
      expect(summary.fate).to.equal(fate);
      expect(summary.cause).to.equal(cause);
    });
  }
});

const READ_CASES = [
  { name: "plain lines", text: ACCEPTED, lines: 1, damaged: [] },
  {
    name: "lines after a prefix",
    text: `3.1 n1 ${ACCEPTED}`,
    lines: 1,
    damaged: [],
  },
  { name: "lines without a record", text: "hello\n\n", lines: 0, damaged: [] },
  {
    name: "a truncated line",
    text: `${ACCEPTED}\n${STARTED.slice(0, 60)}\n${ENDED}`,
    lines: 2,
    damaged: [2],
  },
  {
    name: "a record without a message",
    text: '{"time":"2030-01-01T00:00:00.000Z","node":"n1"}',
    lines: 0,
    damaged: [1],
  },
];

describe("Log lines", () => {
  for (const { name, text, lines, damaged } of READ_CASES) {
    it(`reads ${name}`, () => {
      const read = readLogLines(text);
      expect(read.lines).to.have.length(lines);
      expect(read.damaged).to.deep.equal(damaged);
    });
  }
});

describe("Breakdown of time", () => {
  for (const grouping of Object.values(Grouping)) {
    it(`splits the time of jobs by ${grouping}`, () => {
      const log = [
        ACCEPTED,
        GRANTED,
        STARTED,
        attemptEnded(890, "done", 800),
        ENDED,
      ];
      const [row] = computeBreakdowns(
        readLogLines(log.join("\n")).lines,
        grouping,
      );
      expect(row).to.deep.equal({
        name: grouping === Grouping.Queue ? "plans" : "search",
        jobs: 1,
        open: 0,
        totalMs: 910,
        meanMs: {
          [TimePart.Accept]: 10,
          [TimePart.Permit]: 40,
          [TimePart.Room]: 20,
          [TimePart.Run]: 800,
          [TimePart.Failed]: 0,
          [TimePart.Other]: 40,
        },
      });
    });
  }
});

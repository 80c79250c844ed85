import { expect } from "chai";
import {
  breakDown,
  Fate,
  Grouping,
  Part,
  readLogLines,
  tellStory,
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

const STORIES = [
  {
    name: "a job that completed",
    log: [ACCEPTED, GRANTED, STARTED, attemptEnded(890, "done", 800), ENDED],
    fate: Fate.Completed,
    cause: "Completed after 910 ms: 60 ms until the first start",
  },
  {
    name: "a job that met a failure and a change of the owner",
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
    name: "a submission that the store left open",
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
    cause: "It has not ended; the last that is known: Start ordered",
  },
  {
    name: "a job that no line names",
    log: [line(0, "Job accepted", { job: "00" })],
    fate: Fate.Unheard,
    cause: "No line names the job: it reached no node whose log is here",
  },
];

describe("story of a job", () => {
  for (const { name, log, fate, cause } of STORIES) {
    it(`tells ${name}`, () => {
      const { lines } = readLogLines(log.join("\n"));
      const story = tellStory(lines, JOB);
      expect(story.fate).to.equal(fate);
      expect(story.cause).to.equal(cause);
    });
  }
});

const LOGS = [
  { name: "plain lines", text: ACCEPTED, lines: 1, damaged: [] },
  {
    name: "lines after a prefix",
    text: `3.1 n1 ${ACCEPTED}`,
    lines: 1,
    damaged: [],
  },
  { name: "lines without a record", text: "hello\n\n", lines: 0, damaged: [] },
  {
    name: "a line that was cut off",
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

describe("log lines", () => {
  for (const { name, text, lines, damaged } of LOGS) {
    it(`reads ${name}`, () => {
      const read = readLogLines(text);
      expect(read.lines).to.have.length(lines);
      expect(read.damaged).to.deep.equal(damaged);
    });
  }
});

describe("breakdown of time", () => {
  for (const grouping of Object.values(Grouping)) {
    it(`splits the time of jobs by ${grouping}`, () => {
      const log = [
        ACCEPTED,
        GRANTED,
        STARTED,
        attemptEnded(890, "done", 800),
        ENDED,
      ];
      const [row] = breakDown(readLogLines(log.join("\n")).lines, grouping);
      expect(row).to.deep.equal({
        name: grouping === Grouping.Queue ? "plans" : "search",
        jobs: 1,
        open: 0,
        totalMs: 910,
        meanMs: {
          [Part.Accept]: 10,
          [Part.Permit]: 40,
          [Part.Room]: 20,
          [Part.Run]: 800,
          [Part.Failed]: 0,
          [Part.Other]: 40,
        },
      });
    });
  }
});

import { EndReason, JobKind, Priority } from "@mustardweir/model";
import {
  type SyncCall,
  type Synced,
  type SyncResult,
  SyncResultKind,
  type TaskSpec,
} from "@mustardweir/protocol";
import { HttpTargetClient } from "@mustardweir/target-client";
import { expect } from "chai";
import { request } from "undici";
import { HostedWorker } from "./hosted_worker.ts";
import { WorkerServer } from "./worker_server.ts";
import { WorkerState } from "./worker_state.ts";

/** Longer than any test runs, in milliseconds. */
const LONG_WAIT_MS = 60_000;
const SHORT_WAIT_MS = 50;
const CAPACITY = { cpuMillis: 4000, memoryMb: 1000, accelerators: 0, slots: 4 };

const CALL: SyncCall = {
  sliceId: "z/0",
  epoch: 1,
  floor: 0,
  starts: [],
  stops: [],
  throttles: [],
  acks: [],
  waitMs: LONG_WAIT_MS,
};

function task(taskId: string, payload: string): TaskSpec {
  return {
    taskId,
    jobId: "lone-star.1",
    team: "lone-star",
    homeEpoch: 1,
    askSeq: 1,
    kind: JobKind.Batch,
    priority: Priority.Normal,
    idempotent: true,
    size: { cpuMillis: 1000, memoryMb: 100, accelerators: 0, slots: 1 },
    payload,
  };
}

class TestHarness {
  readonly client = new HttpTargetClient();
  readonly origin: string;

  constructor(origin: string) {
    this.origin = origin;
  }

  sync(changes: Partial<SyncCall> = {}): Promise<SyncResult> {
    const call = { ...CALL, ...changes };
    return this.client.sync(`${this.origin}/w1`, call, LONG_WAIT_MS);
  }

  async token(): Promise<string> {
    return (await this.sync() as Synced).leaseToken;
  }

  /** Starts a task that runs for `runMs` and returns the newest token. */
  async start(runMs: number): Promise<string> {
    const starts = [{ seq: 1, task: task("a", `{"runMs":${runMs}}`) }];
    const leaseToken = await this.token();
    return (await this.sync({ leaseToken, starts }) as Synced).leaseToken;
  }

  async http(
    method: "GET" | "POST" | "PUT",
    path: string,
    body?: string,
  ): Promise<{ status: number; text: string }> {
    const res = await request(`${this.origin}${path}`, { method, body });
    return { status: res.statusCode, text: await res.body.text() };
  }
}

interface ServerCase {
  readonly name: string;
  readonly act: (harness: TestHarness) => Promise<unknown>;
  readonly expected: unknown;
}

const SERVER_CASES: readonly ServerCase[] = [
  {
    name: "replies to a first call at once",
    act: async (harness) => (await harness.sync()).kind,
    expected: SyncResultKind.Synced,
  },
  {
    name: "replies to a waiting call early when a task ends",
    act: async (harness) => {
      const leaseToken = await harness.start(SHORT_WAIT_MS);
      const { ended } = await harness.sync({ leaseToken }) as Synced;
      return ended.map(({ end }) => end.reason);
    },
    expected: [EndReason.Completed],
  },
  {
    name: "replies to a waiting call when its wait time has passed",
    act: async (harness) => {
      const leaseToken = await harness.start(LONG_WAIT_MS);
      const call = { leaseToken, waitMs: SHORT_WAIT_MS };
      return (await harness.sync(call) as Synced).running.length;
    },
    expected: 1,
  },
  {
    name: "replies to a call with commands at once",
    act: async (harness) => {
      const leaseToken = await harness.token();
      return (await harness.sync({ leaseToken, acks: ["x"] })).kind;
    },
    expected: SyncResultKind.Synced,
  },
  {
    name: "fences a waiting call when a call with a higher epoch arrives",
    act: async (harness) => {
      const leaseToken = await harness.token();
      const waiting = harness.sync({ leaseToken });
      await harness.sync({ epoch: 2, leaseToken, acks: ["x"] });
      return await waiting;
    },
    expected: { kind: SyncResultKind.Fenced, epoch: 2 },
  },
  {
    name: "a restart discards the tasks and replies to waiting calls",
    act: async (harness) => {
      const leaseToken = await harness.start(LONG_WAIT_MS);
      const waiting = harness.sync({ leaseToken });
      await harness.http("POST", "/w1/v1/restart");
      return (await waiting as Synced).running;
    },
    expected: [],
  },
  {
    name: "a silent worker sends no reply",
    act: async (harness) => {
      await harness.http("PUT", "/w1/v1/faults", '{"silent":true}');
      const address = `${harness.origin}/w1`;
      return await harness.client.sync(address, CALL, SHORT_WAIT_MS);
    },
    expected: {
      kind: SyncResultKind.NoAnswer,
      message: `No answer within ${SHORT_WAIT_MS} ms`,
    },
  },
  {
    name: "lists the start and end of each run",
    act: async (harness) => {
      const leaseToken = await harness.start(SHORT_WAIT_MS);
      await harness.sync({ leaseToken });
      const { text } = await harness.http("GET", "/w1/v1/starts");
      return JSON.parse(text).map((
        run: {
          taskId: string;
          reason: string;
          startedMs: number;
          endedMs: number;
        },
      ) => [run.taskId, run.reason, Math.round(run.endedMs - run.startedMs)]);
    },
    expected: [["a", EndReason.Completed, SHORT_WAIT_MS]],
  },
  ...[
    { path: "/w1/v1/sync", body: "{", text: "The body is not JSON" },
    {
      path: "/w1/v1/sync",
      body: JSON.stringify({ ...CALL, epoch: "1" }),
      text: "epoch: Invalid input: expected number, received string",
    },
    { path: "/w9/v1/sync", body: "{}", text: "There is no worker w9" },
  ].map(({ path, body, text }): ServerCase => ({
    name: `refuses ${path} with: ${text}`,
    act: (harness) => harness.http("POST", path, body),
    expected: { status: path.startsWith("/w9") ? 404 : 400, text },
  })),
  {
    name: "refuses unknown faults",
    act: async (harness) =>
      (await harness.http("PUT", "/w1/v1/faults", '{"slow":1}')).status,
    expected: 400,
  },
  {
    name: "lists the workers",
    act: (harness) => harness.http("GET", "/v1/workers"),
    expected: { status: 200, text: '["w1"]' },
  },
];

describe("WorkerServer", () => {
  for (const { name, act, expected } of SERVER_CASES) {
    it(name, async () => {
      const worker = new HostedWorker(
        "w1",
        new WorkerState({ capacity: CAPACITY }),
      );
      const server = new WorkerServer({ workers: [worker] });
      const harness = new TestHarness(await server.start());
      try {
        expect(await act(harness)).to.deep.equal(expected);
      } finally {
        await harness.client.close();
        await server.stop();
      }
    });
  }
});

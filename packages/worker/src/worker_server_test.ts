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

/** Far longer than any test runs, in milliseconds. */
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

class Bench {
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

  /** Starts a task that runs for `runMs`; returns the newest token. */
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
  readonly act: (bench: Bench) => Promise<unknown>;
  readonly expected: unknown;
}

const SERVER_CASES: readonly ServerCase[] = [
  {
    name: "answers a first call at once",
    act: async (bench) => (await bench.sync()).kind,
    expected: SyncResultKind.Synced,
  },
  {
    name: "answers a waiting call early when a task ends",
    act: async (bench) => {
      const leaseToken = await bench.start(SHORT_WAIT_MS);
      const { ended } = await bench.sync({ leaseToken }) as Synced;
      return ended.map(({ end }) => end.reason);
    },
    expected: [EndReason.Completed],
  },
  {
    name: "answers a waiting call when its wait is over",
    act: async (bench) => {
      const leaseToken = await bench.start(LONG_WAIT_MS);
      const call = { leaseToken, waitMs: SHORT_WAIT_MS };
      return (await bench.sync(call) as Synced).running.length;
    },
    expected: 1,
  },
  {
    name: "answers commands at once",
    act: async (bench) => {
      const leaseToken = await bench.token();
      return (await bench.sync({ leaseToken, acks: ["x"] })).kind;
    },
    expected: SyncResultKind.Synced,
  },
  {
    name: "fences a waiting call when a higher epoch comes",
    act: async (bench) => {
      const leaseToken = await bench.token();
      const waiting = bench.sync({ leaseToken });
      await bench.sync({ epoch: 2, leaseToken, acks: ["x"] });
      return await waiting;
    },
    expected: { kind: SyncResultKind.Fenced, epoch: 2 },
  },
  {
    name: "a restart loses the tasks and answers waiting calls",
    act: async (bench) => {
      const leaseToken = await bench.start(LONG_WAIT_MS);
      const waiting = bench.sync({ leaseToken });
      await bench.http("POST", "/w1/v1/restart");
      return (await waiting as Synced).running;
    },
    expected: [],
  },
  {
    name: "a silent worker gives no answer",
    act: async (bench) => {
      await bench.http("PUT", "/w1/v1/faults", '{"silent":true}');
      const address = `${bench.origin}/w1`;
      return await bench.client.sync(address, CALL, SHORT_WAIT_MS);
    },
    expected: {
      kind: SyncResultKind.NoAnswer,
      message: `No answer within ${SHORT_WAIT_MS} ms`,
    },
  },
  {
    name: "lists every start and end",
    act: async (bench) => {
      const leaseToken = await bench.start(SHORT_WAIT_MS);
      await bench.sync({ leaseToken });
      const { text } = await bench.http("GET", "/w1/v1/starts");
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
    act: (bench) => bench.http("POST", path, body),
    expected: { status: path.startsWith("/w9") ? 404 : 400, text },
  })),
  {
    name: "refuses unknown faults",
    act: async (bench) =>
      (await bench.http("PUT", "/w1/v1/faults", '{"slow":1}')).status,
    expected: 400,
  },
  {
    name: "lists the workers",
    act: (bench) => bench.http("GET", "/v1/workers"),
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
      const bench = new Bench(await server.start());
      try {
        expect(await act(bench)).to.deep.equal(expected);
      } finally {
        await bench.client.close();
        await server.stop();
      }
    });
  }
});

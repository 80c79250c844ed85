import {
  EMPTY_CONFIGURATION,
  JobState,
  KeyRole,
  RefusalReason,
  refuse,
} from "@mustardweir/model";
import {
  CALLER_DISCONNECTED,
  CALLER_REQUESTED,
  type CallerAnswer,
  CallerAnswerKind,
  CallerCallKind,
  type CallerRequest,
  EffectKind,
} from "@mustardweir/protocol";
import type { EventSink } from "@mustardweir/runtime";
import { expect } from "chai";
import { hashKey } from "./decode.ts";
import { CallerFront } from "./mod.ts";

const SPEC = { kind: "batch", cpu: 1, memoryMb: 64 };
const STATUS = {
  jobId: "imaging.1",
  team: "imaging",
  state: JobState.Waiting,
  tasksTotal: 1,
  tasksRunning: 0,
  tasksEnded: 0,
};
const WAITING: CallerAnswer = { kind: CallerAnswerKind.Job, status: STATUS };
const ENDED: CallerAnswer = {
  kind: CallerAnswerKind.Job,
  status: { ...STATUS, state: JobState.Ended, answer: "42" },
};
const EDITED: CallerAnswer = { kind: CallerAnswerKind.Edited, version: 8 };
const CONFIGURATION: CallerAnswer = {
  kind: CallerAnswerKind.Configuration,
  configuration: {
    ...EMPTY_CONFIGURATION,
    version: 7,
    keys: [{ id: "o1", hash: "a".repeat(64), role: KeyRole.Operator }],
  },
};

function refused(reason: RefusalReason): CallerAnswer {
  const refusal = refuse(reason, { message: "No" });
  return { kind: CallerAnswerKind.Refused, refusal };
}

/** A fake event loop that records calls and answers them on demand. */
class FakeKernel implements EventSink {
  readonly requests: CallerRequest[] = [];
  readonly disconnectedIds: string[] = [];
  answer: CallerAnswer | undefined;
  onEvent: () => void = () => {};
  front: CallerFront | undefined;

  post(command: unknown, payload: unknown): void {
    if (command === CALLER_REQUESTED) {
      const request = payload as CallerRequest;
      this.requests.push(request);
      this.answerRequest(request.requestId, this.answer);
    } else if (command === CALLER_DISCONNECTED) {
      this.disconnectedIds.push((payload as { requestId: string }).requestId);
    }
    this.onEvent();
  }

  answerRequest(requestId: string, answer: CallerAnswer | undefined): void {
    if (answer) {
      const kind = EffectKind.AnswerCaller;
      this.front?.perform({ kind, requestId, answer });
    }
  }

  /** Resolves when `condition` returns true, checked now and on each event. */
  until(condition: () => boolean): Promise<void> {
    return new Promise((resolve) => {
      this.onEvent = () => {
        if (condition()) {
          resolve();
        }
      };
      this.onEvent();
    });
  }
}

/** The fields of responses that the tests check. */
interface ReplyBody {
  readonly state: string;
  readonly id: string;
  readonly key: string;
  readonly version: number;
  readonly configurationVersion: number;
  readonly error: { readonly reason: string; readonly outcome: string };
}

async function bodyOf(res: Response): Promise<ReplyBody> {
  return await res.json() as ReplyBody;
}

interface FrontCase {
  readonly name: string;
  /** Method and path. */
  readonly request: string;
  readonly body?: unknown;
  readonly headers?: Record<string, string | undefined>;
  readonly answer?: CallerAnswer;
  readonly status: number;
  /** Fields of the posted call; undefined if no call may be posted. */
  readonly call?: object;
  readonly reply?: object;
  readonly replyHeaders?: Record<string, string>;
}

const { Submit, Status, Cancel, List } = CallerCallKind;
const { EditConfiguration, ReadConfiguration } = CallerCallKind;

const FRONT_CASES: readonly FrontCase[] = [
  {
    name: "a job that is accepted",
    request: "POST /v1/jobs",
    body: SPEC,
    answer: WAITING,
    status: 202,
    call: { kind: Submit, idempotencyKey: "k1" },
    reply: { jobId: "imaging.1", state: "waiting" },
  },
  {
    name: "a request that has ended with an answer",
    request: "POST /v1/jobs",
    body: SPEC,
    answer: ENDED,
    status: 200,
    call: { kind: Submit },
    reply: { answer: "42" },
  },
  {
    name: "a job without an idempotency key",
    request: "POST /v1/jobs",
    body: SPEC,
    headers: { "Idempotency-Key": undefined },
    status: 400,
    reply: {
      error: {
        reason: "malformed",
        message: "An Idempotency-Key header of 1 to 255 characters is required",
        outcome: "not-run",
        retryable: false,
      },
    },
  },
  {
    name: "a job with an invalid field",
    request: "POST /v1/jobs",
    body: { ...SPEC, cpu: -1 },
    status: 400,
  },
  {
    name: "a body that is not JSON",
    request: "POST /v1/jobs",
    body: "{",
    status: 400,
  },
  {
    name: "a body that is too large",
    request: "POST /v1/jobs",
    body: "x".repeat(1024 * 1024 + 1),
    status: 413,
    replyHeaders: { connection: "close" },
  },
  {
    name: "an inventory larger than the limit of other bodies",
    request: "PUT /v1/config/inventory",
    body: { note: "x".repeat(1024 * 1024) },
    answer: EDITED,
    status: 200,
    call: { kind: EditConfiguration, section: "inventory", ifMatch: 7 },
  },
  {
    name: "a call without a key",
    request: "GET /v1/teams",
    headers: { Authorization: undefined },
    status: 401,
  },
  {
    name: "a query of a job's status",
    request: "GET /v1/jobs/imaging.1",
    answer: WAITING,
    status: 200,
    call: { kind: Status, jobId: "imaging.1" },
  },
  {
    name: "a cancellation",
    request: "DELETE /v1/jobs/imaging.1",
    answer: ENDED,
    status: 200,
    call: { kind: Cancel, jobId: "imaging.1" },
  },
  {
    name: "a list of a team's jobs",
    request: "GET /v1/jobs?team=imaging",
    answer: { kind: CallerAnswerKind.Jobs, jobs: [] },
    status: 200,
    call: { kind: List, team: "imaging" },
    reply: { jobs: [] },
  },
  {
    name: "a read of the configuration, without the hashes of keys",
    request: "GET /v1/config",
    answer: CONFIGURATION,
    status: 200,
    call: { kind: ReadConfiguration },
    reply: { version: 7, keys: [{ id: "o1", role: "operator" }] },
    replyHeaders: { etag: '"7"' },
  },
  {
    name: "an edit",
    request: "PUT /v1/config/rules",
    body: { teams: [] },
    answer: EDITED,
    status: 200,
    call: { section: "rules", body: { teams: [] }, ifMatch: 7 },
    reply: { version: 8 },
    replyHeaders: { etag: '"8"' },
  },
  {
    name: "an edit without If-Match",
    request: "PUT /v1/config/rules",
    body: { teams: [] },
    headers: { "If-Match": undefined },
    status: 428,
  },
  {
    name: "an edit with a weak entity tag",
    request: "PUT /v1/config/rules",
    body: { teams: [] },
    headers: { "If-Match": 'W/"7"' },
    status: 400,
  },
  {
    name: "a zone's drain",
    request: "POST /v1/config/zones/tx-a/drain",
    answer: EDITED,
    status: 200,
    call: {
      section: "zones",
      body: { patch: "set-zone", zone: "tx-a", state: "draining" },
    },
  },
  {
    name: "a zone's return",
    request: "POST /v1/config/zones/tx-a/return",
    answer: EDITED,
    status: 200,
    call: { body: { patch: "set-zone", zone: "tx-a", state: "open" } },
  },
  {
    name: "a key's withdrawal",
    request: "DELETE /v1/config/keys/k1",
    answer: EDITED,
    status: 200,
    call: { section: "keys", body: { patch: "withdraw-key", id: "k1" } },
  },
  {
    name: "a new key with a hash chosen by the caller",
    request: "POST /v1/config/keys",
    body: { id: "k1", role: "viewer", hash: "a".repeat(64) },
    status: 400,
  },
  {
    name: "a new viewer's key with a team",
    request: "POST /v1/config/keys",
    body: { id: "k1", role: "viewer", team: "imaging" },
    status: 400,
    reply: {
      error: refuse(RefusalReason.Malformed, {
        message: "team: Only a submitter's key has a team",
      }),
    },
  },
  {
    name: "a time limit that is too long",
    request: "GET /v1/teams",
    headers: { "Request-Timeout-Ms": "300001" },
    status: 400,
  },
  {
    name: "an unknown path",
    request: "GET /v2/teams",
    status: 404,
  },
  ...[
    { reason: RefusalReason.UnknownKey, status: 401 },
    { reason: RefusalReason.NotPermitted, status: 403 },
    { reason: RefusalReason.StaleEdit, status: 412 },
    { reason: RefusalReason.Impossible, status: 422 },
    { reason: RefusalReason.Overloaded, status: 429 },
    { reason: RefusalReason.Stopping, status: 503 },
    { reason: RefusalReason.DeadlinePassed, status: 504 },
  ].map(({ reason, status }): FrontCase => ({
    name: `a call refused as ${reason}`,
    request: "POST /v1/jobs",
    body: SPEC,
    answer: refused(reason),
    status,
    call: { kind: Submit },
    reply: { error: refuse(reason, { message: "No" }) },
  })),
];

describe("Caller front", () => {
  let kernel: FakeKernel;
  let front: CallerFront;
  let isReady: boolean;
  let inForce: number;

  beforeEach(async () => {
    kernel = new FakeKernel();
    isReady = false;
    inForce = 7;
    front = new CallerFront({
      listen: { host: "127.0.0.1", port: 0 },
      isReady: () => isReady,
      configurationVersion: () => inForce,
    });
    kernel.front = front;
    await front.start(kernel);
  });

  afterEach(() => front.close());

  function call(testCase: Partial<FrontCase>, signal?: AbortSignal) {
    const [method, path] = (testCase.request ?? "").split(" ");
    const headers = {
      Authorization: "Bearer secret",
      "Idempotency-Key": "k1",
      "If-Match": '"7"',
      ...testCase.headers,
    };
    const { body } = testCase;
    return fetch(`http://127.0.0.1:${front.port}${path}`, {
      method,
      headers: Object.entries(headers).flatMap(([name, value]) =>
        value === undefined ? [] : [[name, value] as [string, string]]
      ),
      body: typeof body === "string" ? body : JSON.stringify(body),
      signal,
    });
  }

  for (const testCase of FRONT_CASES) {
    it(`answers ${testCase.status} to ${testCase.name}`, async () => {
      kernel.answer = testCase.answer;
      const res = await call(testCase);
      const reply = await res.json();
      expect(res.status).to.equal(testCase.status);
      expect(reply).to.deep.include(testCase.reply ?? {});
      for (const [name, value] of Object.entries(testCase.replyHeaders ?? {})) {
        expect(res.headers.get(name)).to.equal(value);
      }
      const posted = kernel.requests.map((request) => request.call);
      expect(posted.length).to.equal(testCase.call ? 1 : 0);
      if (testCase.call) {
        expect(posted[0]).to.deep.include(testCase.call);
        expect(kernel.requests[0]?.keyHash).to.equal(hashKey("secret"));
      }
    });
  }

  const FLOW_CASES: readonly { name: string; act: () => Promise<void> }[] = [
    {
      name: "returns answers that arrive out of order to their own callers",
      act: async () => {
        const first = call({ request: "GET /v1/jobs/imaging.1" });
        await kernel.until(() => kernel.requests.length === 1);
        const second = call({ request: "GET /v1/jobs/imaging.2" });
        await kernel.until(() => kernel.requests.length === 2);
        kernel.answerRequest(kernel.requests[1]!.requestId, ENDED);
        kernel.answerRequest(kernel.requests[0]!.requestId, WAITING);
        kernel.answerRequest(kernel.requests[0]!.requestId, ENDED);
        const replies = [await bodyOf(await first), await bodyOf(await second)];
        expect(replies.map(({ state }) => state)).to.deep.equal([
          "waiting",
          "ended",
        ]);
      },
    },
    {
      name: "reports a disconnected caller to the loop",
      act: async () => {
        const abort = new AbortController();
        const left = call({ request: "GET /v1/teams" }, abort.signal)
          .catch(() => undefined);
        await kernel.until(() => kernel.requests.length === 1);
        abort.abort();
        await kernel.until(() => kernel.disconnectedIds.length === 1);
        await left;
        expect(kernel.disconnectedIds[0]).to.equal(
          kernel.requests[0]?.requestId,
        );
      },
    },
    {
      name: "returns a granted key once and stores only its hash",
      act: async () => {
        kernel.answer = EDITED;
        const body = { id: "k1", role: "submitter", team: "imaging" };
        const res = await call({ request: "POST /v1/config/keys", body });
        const { id, key, version } = await bodyOf(res);
        expect([id, version]).to.deep.equal(["k1", 8]);
        const posted = kernel.requests[0]!.call;
        expect(posted).to.deep.include({
          body: { patch: "grant-key", key: { ...body, hash: hashKey(key) } },
        });
      },
    },
    {
      name: "is ready only when the node is ready",
      act: async () => {
        const before = await call({ request: "GET /readyz" });
        isReady = true;
        const after = await call({ request: "GET /readyz" });
        const health = await call({ request: "GET /healthz" });
        expect([before.status, after.status, health.status])
          .to.deep.equal([503, 200, 200]);
      },
    },
    {
      name: "refuses waiting callers when it is closed",
      act: async () => {
        const waiting = call({ request: "POST /v1/jobs", body: SPEC });
        await kernel.until(() => kernel.requests.length === 1);
        const closed = front.close();
        const { error } = await bodyOf(await waiting);
        await closed;
        expect([error.reason, error.outcome]).to.deep.equal([
          "stopping",
          "unknown",
        ]);
      },
    },
  ];

  const STAMP_CASES = [
    { request: "GET /v1/config", answer: CONFIGURATION, inForce: 7, stamp: 7 },
    { request: "DELETE /v1/config/keys/k1", inForce: 7, stamp: 8 },
    { request: "DELETE /v1/config/keys/k1", inForce: 9, stamp: 9 },
    {
      request: "POST /v1/config/keys",
      body: { id: "k1", role: "viewer" },
      inForce: 7,
      stamp: 8,
    },
  ];

  for (const { stamp, answer = EDITED, ...rest } of STAMP_CASES) {
    const { request } = rest;
    it(`answers ${request} with configuration ${stamp} when ${rest.inForce} is in force`, async () => {
      inForce = rest.inForce;
      kernel.answer = answer;
      const reply = await bodyOf(await call(rest));
      expect(reply.configurationVersion).to.equal(stamp);
    });
  }

  for (const { name, act } of FLOW_CASES) {
    it(name, act);
  }
});

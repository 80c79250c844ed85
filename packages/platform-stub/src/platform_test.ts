import { expect } from "chai";
import { consola, LogLevels } from "consola";
import { FAULT_SETTINGS, Platform } from "./mod.ts";
import "./services/mod.ts";

interface Step {
  /** Method and path. */
  readonly call: string;
  readonly body?: unknown;
  readonly code: number;
  /** Expected response body; not checked when it is absent. */
  readonly answer?: unknown;
}

interface PlatformCase {
  readonly name: string;
  readonly steps: readonly Step[];
}

const COMMIT = "POST /v1/table/transactions";
const FAULTS = "PUT /v1/faults";
const LIST = "GET /v1/instances";

const CREATE_A = {
  checks: [{ key: "a", version: 0 }],
  puts: [{ key: "a", value: "é" }],
  deletes: [],
};
const INSTANCE = {
  role: "entry",
  address: "",
  availabilityZone: "az1",
  leaving: false,
};
const LEAVING = { ...INSTANCE, leaving: true };

const PLATFORM_CASES: readonly PlatformCase[] = [
  {
    name: "refuses malformed table requests without effect",
    steps: [
      { call: COMMIT, body: { puts: [] }, code: 400 },
      { call: COMMIT, body: { ...CREATE_A, deletes: [1] }, code: 400 },
      { call: COMMIT, code: 400 },
      { call: "GET /v1/table/rows?afterRevision=x", code: 400 },
      { call: "GET /v1/table/rows?afterRevision=-1", code: 400 },
      {
        call: "GET /v1/table/rows",
        code: 200,
        answer: { rows: [], deleted: [], revision: 0 },
      },
    ],
  },
  {
    name: "accepts object keys with slashes, encoded or not",
    steps: [
      { call: "PUT /v1/objects/jobs/a/1", body: { size: 1 }, code: 200 },
      { call: "GET /v1/objects/jobs%2Fa%2F1", code: 200, answer: { size: 1 } },
      { call: "GET /v1/objects/jobs/a", code: 404 },
    ],
  },
  {
    name: "lists the last version of each instance that was not removed",
    steps: [
      { call: "PUT /v1/instances/s1", body: INSTANCE, code: 200 },
      { call: "PUT /v1/instances/s2", body: INSTANCE, code: 200 },
      { call: "PUT /v1/instances/s2", body: LEAVING, code: 200 },
      { call: "PUT /v1/instances/s3", body: { role: "entry" }, code: 400 },
      { call: "DELETE /v1/instances/s1", code: 200 },
      {
        call: LIST,
        code: 200,
        answer: { instances: [{ nodeId: "s2", ...LEAVING }] },
      },
    ],
  },
  {
    name:
      "replaces all faults at once and keeps them after a malformed request",
    steps: [
      { call: FAULTS, body: { down: true }, code: 200 },
      { call: LIST, code: 503 },
      { call: FAULTS, body: { loseAnswers: 0.5 }, code: 200 },
      { call: LIST, code: 200 },
      { call: FAULTS, body: { loseAnswers: 1.5 }, code: 400 },
      { call: FAULTS, body: { slow: 1 }, code: 400 },
      {
        call: "GET /v1/faults",
        code: 200,
        answer: FAULT_SETTINGS.parse({ loseAnswers: 0.5 }),
      },
    ],
  },
  {
    name: "counts only requests that take effect",
    steps: [
      { call: COMMIT, body: CREATE_A, code: 200, answer: { revision: 1 } },
      { call: COMMIT, body: CREATE_A, code: 409, answer: { conflicts: ["a"] } },
      { call: COMMIT, body: {}, code: 400 },
      { call: LIST, code: 200, answer: { instances: [] } },
      { call: FAULTS, body: { down: true }, code: 200 },
      { call: LIST, code: 503 },
      {
        call: "GET /v1/stats",
        code: 200,
        answer: {
          reads: 1,
          writes: 2,
          conflicts: 1,
          bytes: 2 * Buffer.byteLength(JSON.stringify(CREATE_A)) +
            '{"revision":1}{"conflicts":["a"]}{"instances":[]}'.length,
        },
      },
    ],
  },
];

describe("Platform", () => {
  const { level } = consola;

  before(() => {
    consola.level = LogLevels.warn;
  });

  after(() => {
    consola.level = level;
  });

  for (const { name, steps } of PLATFORM_CASES) {
    it(name, async () => {
      const { app } = new Platform({ listLagMs: 0 });
      for (const { call, body, code, answer } of steps) {
        const [method, path = ""] = call.split(" ");
        const init = { method, body: JSON.stringify(body) };
        const res = await app.request(path, init);
        expect(res.status, call).to.equal(code);
        if (answer !== undefined) {
          expect(await res.json()).to.deep.equal(answer);
        }
      }
    });
  }
});

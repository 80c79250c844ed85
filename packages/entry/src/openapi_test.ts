import { readFileSync } from "node:fs";
import { EMPTY_CONFIGURATION, JobState, KeyRole } from "@mustardweir/model";
import {
  BurnAlert,
  BurnWindow,
  type CallerAnswer,
  CallerAnswerKind,
} from "@mustardweir/protocol";
import { expect } from "chai";
import type { RouteInput } from "./decode.ts";
import { createOpenApi, openApiPath, ROUTES } from "./mod.ts";

interface Operation {
  readonly operationId?: string;
  readonly "x-roles"?: readonly string[];
  readonly parameters?: readonly { readonly name: string }[];
  readonly requestBody?: object;
}

interface OpenApi {
  readonly paths: Readonly<Record<string, Readonly<Record<string, Operation>>>>;
}

const COMMITTED = new URL("../../../docs/openapi.json", import.meta.url);

const MISSING = {
  missingSlices: ["tx-a/0"],
  missingHomes: [],
  missingSchedulers: ["s2"],
};
const RESOURCES = { cpuMillis: 1, memoryMb: 1, accelerators: 0, slots: 1 };
const STATUS = {
  jobId: "imaging.1",
  team: "imaging",
  state: JobState.Waiting,
  tasksTotal: 1,
  tasksRunning: 0,
  tasksEnded: 0,
};
const JOB: CallerAnswer = { kind: CallerAnswerKind.Job, status: STATUS };
const EDITED: CallerAnswer = { kind: CallerAnswerKind.Edited, version: 8 };
const COUNTS = {
  accepted: 1,
  completed: 1,
  failed: 0,
  notRun: 0,
  cancelled: 0,
  unknown: 0,
  unmeasured: 0,
};

/** Answers by operation; the operations that edit are not listed. */
const ANSWERS: Readonly<Record<string, CallerAnswer>> = {
  submitJob: JOB,
  readJob: JOB,
  cancelJob: JOB,
  listJobs: { kind: CallerAnswerKind.Jobs, jobs: [STATUS] },
  listTeams: {
    kind: CallerAnswerKind.Teams,
    teams: [{
      team: "imaging",
      share: 1,
      ceiling: { cpu: 4 },
      used: RESOURCES,
      dominantShare: 0.5,
      entitlement: 1,
      waiting: 3,
    }],
    configurationVersion: 7,
    ...MISSING,
  },
  readFleet: {
    kind: CallerAnswerKind.Fleet,
    schedulers: [],
    availabilityZones: [],
    configurationVersion: 7,
    ...MISSING,
  },
  reportBurn: {
    kind: CallerAnswerKind.Burn,
    report: {
      series: [{
        team: "imaging",
        kind: "batch" as never,
        objective: { startWithinMs: 100, target: 0.9 },
        windows: [{
          window: BurnWindow.OneHour,
          ...COUNTS,
          inTime: 1,
          late: 0,
          burnRate: 0,
          waitMs: { "0.5": 3 },
          covered: 1,
        }],
        budgetLeft: 1,
        alert: BurnAlert.None,
        points: [],
      }],
      schedulers: ["s1"],
      silent: [{ nodeId: "s2", silentMs: 4 }],
      gaps: [{ team: "imaging", fromAgeMs: 9, toAgeMs: 3 }],
    },
  },
  readConfiguration: {
    kind: CallerAnswerKind.Configuration,
    configuration: {
      ...EMPTY_CONFIGURATION,
      keys: [{ id: "o1", hash: "a".repeat(64), role: KeyRole.Operator }],
    },
  },
};

const BODIES: Readonly<Record<string, unknown>> = {
  submitJob: { kind: "batch", cpu: 1, memoryMb: 64 },
  putInventory: { availabilityZones: [] },
  putRules: { teams: [] },
  putZones: {},
  grantKey: { id: "k1", role: "viewer" },
};

const HEADERS: Readonly<Record<string, string>> = {
  "Idempotency-Key": "k",
  "If-Match": '"7"',
};

function inputFor(operationId: string): RouteInput {
  return {
    param: () => "tx-a",
    query: () => undefined,
    header: (name) => HEADERS[name],
    body: BODIES[operationId],
  };
}

describe("OpenAPI document", () => {
  const document = createOpenApi() as OpenApi;

  it("equals the committed docs/openapi.json", () => {
    const committed = JSON.parse(readFileSync(COMMITTED, "utf8"));
    const current = JSON.parse(JSON.stringify(document));
    expect(committed).to.deep.equal(current);
  });

  it("contains exactly the routes", () => {
    const named = Object.entries(document.paths).flatMap(([path, methods]) =>
      Object.entries(methods)
        .filter(([, { operationId }]) => operationId !== undefined)
        .map(([method]) => `${method.toUpperCase()} ${path}`)
    );
    const routes = ROUTES.map(({ method, path }) =>
      `${method} ${openApiPath(path)}`
    );
    expect(named.sort()).to.deep.equal(routes.sort());
  });

  for (const route of ROUTES) {
    const { operationId } = route;
    const path = openApiPath(route.path);

    it(`describes the requests and responses of ${operationId}`, () => {
      const operation = document.paths[path]?.[route.method.toLowerCase()];
      const hasBody = operation?.requestBody !== undefined;
      expect(hasBody).to.equal(route.maxBodyBytes !== undefined);
      expect(operation?.["x-roles"]).not.to.be.empty;
      const routed = route.decode(inputFor(operationId))._unsafeUnwrap();
      expect(routed.call.kind).to.equal(route.call);
      const { body, status } = routed.encode(ANSWERS[operationId] ?? EDITED);
      expect(route.replyStatus).to.include(status);
      const stamped = {
        ...body as object,
        asOf: new Date(0).toISOString(),
        configurationVersion: 7,
      };
      const parsed = route.reply.parse(stamped);
      expect(parsed).to.deep.equal(JSON.parse(JSON.stringify(stamped)));
    });
  }
});

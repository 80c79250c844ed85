import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Outcome, RefusalReason, refuse } from "@mustardweir/model";
import { expect } from "chai";
import { ExitCode, runCli } from "./mod.ts";

interface Reply {
  readonly status: number;
  readonly body?: unknown;
}

interface CliCase {
  readonly name: string;
  readonly argv: readonly string[];
  /** Replies in order; after the last one the server returns status 500. */
  readonly replies?: readonly Reply[];
  readonly env?: Record<string, string>;
  readonly exitCode: ExitCode;
  readonly out?: string;
  /** The complete error output. */
  readonly error?: string;
  /** Method, path and `If-Match` of the requests that the entry received. */
  readonly calls?: readonly string[];
  /** Whether ctrl-c is pressed at the first output. */
  readonly interrupts?: boolean;
  /** Whether output goes to a terminal. */
  readonly isTerminal?: boolean;
}

const STAMP = { asOf: "2030-01-01T00:00:00.000Z", configurationVersion: 4 };
const STAMP_LINE = "as of 2030-01-01T00:00:00.000Z, configuration version 4";
const NO_RESOURCES = { cpuMillis: 0, memoryMb: 0, accelerators: 0, slots: 0 };

const RULES = { teams: [{ name: "imaging", share: 1 }] };
const FILES: Readonly<Record<string, string>> = {
  "rules.yaml": "teams:\n  - name: imaging\n    share: 1\n",
  "bad.yaml": "teams:\n  - name: imaging\n    share: 0\n",
  "unknown.yaml": "teams:\n  - name: imaging\n    share: 1\n    shares: 2\n",
  "bomb.yaml": `a: &a [${"x,".repeat(99)}]\nb: &b [${
    "*a,".repeat(99)
  }]\nteams: [${"*b,".repeat(99)}]\n`,
  "broken.yaml": "teams: [",
  "other.json": "{}",
  "fleet.json": '{"availabilityZones":[]}',
  "job.json": '{"kind":"batch","cpu":1,"memoryMb":64}',
};

const VERSION_4 = {
  status: 200,
  body: { version: 4, inventory: {}, rules: {}, zones: {}, keys: [] },
};
const VERSION_5 = { status: 200, body: { version: 5 } };
const JOB = {
  jobId: "imaging.1",
  team: "imaging",
  state: "waiting",
  tasksTotal: 2,
  tasksRunning: 1,
  tasksEnded: 0,
};

const FAILED_JOB = {
  ...JOB,
  ...STAMP,
  state: "ended",
  outcome: Outcome.Done,
  reason: "failed",
  tasksRunning: 0,
  tasksEnded: 2,
};
const TEAM_STATUS = {
  share: 1,
  ceiling: {},
  used: NO_RESOURCES,
  dominantShare: 0,
  entitlement: 0.5,
};
const TEAMS = {
  status: 200,
  body: {
    ...STAMP,
    teams: [
      { ...TEAM_STATUS, team: "imaging", ceiling: { tasks: 2 }, waiting: 7 },
      { ...TEAM_STATUS, team: "ledger" },
    ],
    missingSlices: ["tx-a/0"],
    missingHomes: ["ledger"],
    missingSchedulers: [],
  },
};
const SCHEDULER = {
  nodeId: "s1",
  availabilityZone: "tx-a",
  configurationVersion: 4,
  isStopping: false,
  silentMs: 240,
  owned: 2,
};
const FLEET = {
  status: 200,
  body: {
    ...STAMP,
    schedulers: [SCHEDULER],
    availabilityZones: [{
      availabilityZone: "tx-a",
      state: "draining",
      instances: 3,
      slices: [{
        sliceId: "tx-a/0",
        epoch: 1,
        free: NO_RESOURCES,
        total: { ...NO_RESOURCES, cpuMillis: 64_000, slots: 8 },
        waiting: 4,
      }],
    }],
    missingSlices: [],
    missingHomes: [],
    missingSchedulers: ["s2"],
  },
};
/** One scheduler stops, a second was killed and a third has stopped. */
const FLEET_WITH_SILENT_SCHEDULERS = {
  status: 200,
  body: {
    ...STAMP,
    schedulers: [
      { ...SCHEDULER, isStopping: true },
      { ...SCHEDULER, nodeId: "s2", silentMs: 19_100 },
      { ...SCHEDULER, nodeId: "s3", silentMs: 1_600, isStopping: true },
    ],
    availabilityZones: [],
    missingSlices: [],
    missingHomes: [],
    missingSchedulers: ["s2", "s3"],
  },
};
const BURN = {
  status: 200,
  body: {
    ...STAMP,
    series: [],
    schedulers: ["s1"],
    silent: [{ nodeId: "s2", silentMs: 60_000 }],
    gaps: [{ team: "ledger", fromAgeMs: 3_600_000, toAgeMs: 1_800_000 }],
  },
};

function refused(
  status: number,
  reason: RefusalReason,
  outcome = Outcome.NotRun,
): Reply {
  return {
    status,
    body: { error: refuse(reason, { message: "No", outcome }) },
  };
}

const CLEAR = "\u001b[2J\u001b[H";
const VIEW = [
  "ZONE  STATE     INSTANCES  FREE-CPU  FREE-ACCELERATORS  FREE-SLOTS  ASKS",
  "tx-a  draining  3          0/64      0/0                0/8         4",
  "",
  "SCHEDULER  ZONE  STATE  CONFIG  OWNS  HEARD",
  "s1         tx-a  up     4       2     0.2 s ago",
  "",
  "TEAM     SHARE  ENTITLED  USES  CEILING  WAITING  CPU  MEMORY-MB  ACCELERATORS  TASKS",
  "imaging  1      50.0%     0.0%  tasks=2  7        0    0          0             0",
  "ledger   1      50.0%     0.0%  -        ?        0    0          0             0",
  "no data from slices: tx-a/0",
  "no data from homes of teams: ledger",
  STAMP_LINE,
].join("\n");

const STOPPING_JSON = JSON.stringify({
  error: {
    message: "No (stopping, not-run)",
    exitCode: 1,
    reason: "stopping",
    outcome: "not-run",
    retryable: true,
  },
});

const STALE = refused(412, RefusalReason.StaleEdit);

const CLI_CASES: readonly CliCase[] = [
  {
    name: "applies sections that differ, the inventory first",
    argv: ["apply", "rules.yaml", "fleet.json"],
    replies: [VERSION_4, VERSION_5, { status: 200, body: { version: 6 } }],
    exitCode: ExitCode.Ok,
    out: "inventory in version 5\nrules in version 6",
    calls: [
      "GET /v1/config",
      'PUT /v1/config/inventory "4"',
      'PUT /v1/config/rules "5"',
    ],
  },
  {
    name: "doesn't send a section that is unchanged",
    argv: ["apply", "rules.yaml"],
    replies: [{
      status: 200,
      body: {
        version: 4,
        rules: {
          teams: [{ ...RULES.teams[0], ceiling: {}, maySubmit: true }],
          objectives: [],
        },
      },
    }],
    exitCode: ExitCode.Ok,
    out: "rules unchanged in version 4",
    calls: ["GET /v1/config"],
  },
  {
    name: "rejects apply after another edit, and lists its changes",
    argv: ["apply", "rules.yaml"],
    replies: [VERSION_4, STALE, {
      status: 200,
      body: { ...VERSION_4.body, version: 5, zones: { "tx-a": "draining" } },
    }],
    exitCode: ExitCode.Stale,
    error: [
      "mustardweir: No (stale-edit, not-run)",
      "  changed from version 4 to 5:",
      '  + zones.tx-a: "draining"',
    ].join("\n"),
    calls: ["GET /v1/config", 'PUT /v1/config/rules "4"', "GET /v1/config"],
  },
  {
    name: "reports the line of an issue that the entry detected",
    argv: ["apply", "rules.yaml"],
    replies: [VERSION_4, {
      status: 400,
      body: {
        error: refuse(RefusalReason.Malformed, {
          message: "rules.teams.0.name: no such team",
        }),
      },
    }],
    exitCode: ExitCode.Refused,
    error:
      "mustardweir: rules.yaml:2: teams.0.name (imaging): no such team (malformed, not-run)",
  },
  {
    name: "lists the changes that apply would make",
    argv: ["diff", "rules.yaml"],
    replies: [{
      status: 200,
      body: {
        ...VERSION_4.body,
        ...STAMP,
        rules: {
          teams: [
            { name: "storefront", share: 1 },
            { name: "imaging", share: 2, ceiling: {}, maySubmit: true },
          ],
          objectives: [],
        },
      },
    }],
    exitCode: ExitCode.Different,
    out: [
      '- rules.teams.storefront: {"name":"storefront","share":1}',
      "~ rules.teams.imaging.share: 2 -> 1",
      "2 differences to version 4",
      STAMP_LINE,
    ].join("\n"),
  },
  {
    name: "retries a drain after a conflicting edit",
    argv: ["drain", "tx-a"],
    replies: [VERSION_4, STALE, VERSION_5, {
      status: 200,
      body: { version: 6 },
    }],
    exitCode: ExitCode.Ok,
    out: "drain of tx-a in version 6",
    calls: [
      "GET /v1/config",
      'POST /v1/config/zones/tx-a/drain "4"',
      "GET /v1/config",
      'POST /v1/config/zones/tx-a/drain "5"',
    ],
  },
  {
    name: "does not return a zone if the version differs from --if-match",
    argv: ["return", "tx-a", "--if-match", "3"],
    replies: [STALE],
    exitCode: ExitCode.Stale,
    error: "mustardweir: No (stale-edit, not-run)",
    calls: ['POST /v1/config/zones/tx-a/return "3"'],
  },
  {
    name: "prints a granted key",
    argv: ["keys", "grant", "k1", "--team", "imaging"],
    replies: [VERSION_4, { status: 200, body: { version: 5, key: "mw_x" } }],
    exitCode: ExitCode.Ok,
    out: "mw_x",
  },
  {
    name: "withdraws a key",
    argv: ["keys", "withdraw", "k1"],
    replies: [VERSION_4, VERSION_5],
    exitCode: ExitCode.Ok,
    out: "withdrawal of k1 in version 5",
  },
  {
    name: "prints an accepted job",
    argv: ["submit", "job.json"],
    replies: [{ status: 202, body: JOB }],
    exitCode: ExitCode.Ok,
    out: "imaging.1, waiting, 1 running and 0 ended of 2",
    calls: ["POST /v1/jobs"],
  },
  {
    name: "prints JSON",
    argv: ["--json", "status", "imaging.1"],
    replies: [{ status: 200, body: JOB }],
    exitCode: ExitCode.Ok,
    out: JSON.stringify(JOB),
    calls: ["GET /v1/jobs/imaging.1"],
  },
  {
    name: "prints the idempotency key if a job may have been accepted",
    argv: ["submit", "job.json", "--idempotency-key", "k"],
    replies: [refused(504, RefusalReason.DeadlinePassed, Outcome.Unknown)],
    exitCode: ExitCode.Refused,
    error:
      "mustardweir: No (deadline-passed, unknown); to retry it: --idempotency-key k",
  },
  {
    name: "reports that a job was refused",
    argv: ["submit", "job.json"],
    replies: [refused(422, RefusalReason.Impossible)],
    exitCode: ExitCode.Refused,
    error: "mustardweir: No (impossible, not-run)",
  },
  {
    name: "reports that a cancellation was refused",
    argv: ["cancel", "imaging.1"],
    replies: [refused(403, RefusalReason.NotPermitted)],
    exitCode: ExitCode.Refused,
    error: "mustardweir: No (not-permitted, not-run)",
  },
  {
    name: "rejects the response of a server that is not an entry",
    argv: ["teams"],
    replies: [{ status: 502 }],
    exitCode: ExitCode.Unreachable,
    error: "mustardweir: The entry returned status 502 without a reason",
  },
  {
    name: "reports the line and name of an invalid field",
    argv: ["apply", "bad.yaml"],
    exitCode: ExitCode.Usage,
    error:
      "mustardweir: bad.yaml:3: teams.0.share (imaging): Too small: expected number to be >0",
  },
  {
    name: "reports the line and name of an unknown field",
    argv: ["apply", "unknown.yaml"],
    exitCode: ExitCode.Usage,
    error:
      "mustardweir: unknown.yaml:4: teams.0.shares (imaging): unknown field",
  },
  {
    name: "reports the line of a YAML syntax error",
    argv: ["diff", "broken.yaml"],
    exitCode: ExitCode.Usage,
    error:
      "mustardweir: broken.yaml:1: Flow sequence in block collection must be sufficiently indented and end with a ]",
  },
  {
    name: "rejects a file whose aliases expand excessively",
    argv: ["apply", "bomb.yaml"],
    exitCode: ExitCode.Usage,
    error:
      "mustardweir: bomb.yaml: Excessive alias count indicates a resource exhaustion attack",
  },
  {
    name: "submits a job from flags",
    argv: ["submit", "--kind", "batch", "--cpu", "0.5", "--memory-mb", "64"],
    replies: [{ status: 202, body: JOB }],
    exitCode: ExitCode.Ok,
    out: "imaging.1, waiting, 1 running and 0 ended of 2",
  },
  {
    name: "validates the flags of a job",
    argv: ["submit", "--kind", "batch", "--cpu", "1"],
    exitCode: ExitCode.Usage,
    error:
      "mustardweir: memoryMb: Invalid input: expected number, received undefined",
  },
  {
    name: "waits for a job and reports that it failed",
    argv: ["submit", "job.json", "--wait"],
    replies: [
      { status: 202, body: JOB },
      refused(503, RefusalReason.NoHome),
      { status: 200, body: FAILED_JOB },
    ],
    exitCode: ExitCode.JobFailed,
    out: [
      "imaging.1, ended, 0 running and 2 ended of 2, outcome done, reason failed",
      STAMP_LINE,
    ].join("\n"),
    calls: [
      "POST /v1/jobs",
      "GET /v1/jobs/imaging.1",
      "GET /v1/jobs/imaging.1",
    ],
  },
  {
    name: "explains why a job waits",
    argv: ["explain", "imaging.1"],
    replies: [{
      status: 200,
      body: { ...JOB, ...STAMP, explanation: "The team is at its ceiling" },
    }],
    exitCode: ExitCode.Ok,
    out: `imaging.1: The team is at its ceiling\n${STAMP_LINE}`,
  },
  {
    name: "lists jobs and the homes that did not answer",
    argv: ["jobs"],
    replies: [
      TEAMS,
      { status: 200, body: { jobs: [JOB] } },
      refused(503, RefusalReason.NoHome),
    ],
    exitCode: ExitCode.Ok,
    out: [
      "JOB        TEAM     STATE    RUNNING  WAITED  REASON",
      "imaging.1  imaging  waiting  1/2      -       -",
      "no data from homes of teams: ledger",
      STAMP_LINE,
    ].join("\n"),
    calls: [
      "GET /v1/teams",
      "GET /v1/jobs?team=imaging",
      "GET /v1/jobs?team=ledger",
    ],
  },
  {
    name: "lists teams and missing data",
    argv: ["teams"],
    replies: [TEAMS],
    exitCode: ExitCode.Ok,
    out: [
      "TEAM     SHARE  ENTITLED  USES  CEILING  WAITING  CPU  MEMORY-MB  ACCELERATORS  TASKS",
      "imaging  1      50.0%     0.0%  tasks=2  7        0    0          0             0",
      "ledger   1      50.0%     0.0%  -        ?        0    0          0             0",
      "no data from slices: tx-a/0",
      "no data from homes of teams: ledger",
      STAMP_LINE,
    ].join("\n"),
  },
  {
    name: "prints the state of the fleet",
    argv: ["status"],
    replies: [FLEET],
    exitCode: ExitCode.Ok,
    out: [
      "ZONE  STATE     INSTANCES  FREE-CPU  FREE-ACCELERATORS  FREE-SLOTS  ASKS",
      "tx-a  draining  3          0/64      0/0                0/8         4",
      "",
      "SCHEDULER  ZONE  STATE  CONFIG  OWNS  HEARD",
      "s1         tx-a  up     4       2     0.2 s ago",
      "no data from schedulers: s2",
      STAMP_LINE,
    ].join("\n"),
  },
  {
    name: "marks schedulers without recent heartbeats as silent",
    argv: ["status"],
    replies: [FLEET_WITH_SILENT_SCHEDULERS],
    exitCode: ExitCode.Ok,
    out: [
      "ZONE  STATE  INSTANCES  FREE-CPU  FREE-ACCELERATORS  FREE-SLOTS  ASKS",
      "",
      "SCHEDULER  ZONE  STATE     CONFIG  OWNS  HEARD",
      "s1         tx-a  stopping  4       2     0.2 s ago",
      "s2         tx-a  silent    4       2     19.1 s ago",
      "s3         tx-a  silent    4       2     1.6 s ago",
      "no data from schedulers: s2, s3",
      STAMP_LINE,
    ].join("\n"),
  },
  {
    name: "prints snapshots periodically",
    argv: ["top", "--count", "2", "--interval-ms", "1"],
    replies: [FLEET, TEAMS, refused(503, RefusalReason.Stopping)],
    exitCode: ExitCode.Refused,
    out: `${VIEW}\n\nNo (stopping, not-run)`,
    error: "mustardweir: No (stopping, not-run)",
    calls: ["GET /v1/fleet", "GET /v1/teams", "GET /v1/fleet"],
  },
  {
    name: "clears a terminal before each snapshot",
    argv: ["top", "--count", "2", "--interval-ms", "1"],
    replies: [FLEET, TEAMS, FLEET, TEAMS],
    isTerminal: true,
    exitCode: ExitCode.Ok,
    out: `${CLEAR}${VIEW}\n${CLEAR}${VIEW}`,
  },
  {
    name: "prints a line of JSON for each snapshot",
    argv: ["top", "--json", "--count", "2", "--interval-ms", "1"],
    replies: [FLEET, TEAMS, refused(503, RefusalReason.Stopping)],
    isTerminal: true,
    exitCode: ExitCode.Refused,
    out: [
      JSON.stringify({ fleet: FLEET.body, teams: TEAMS.body }),
      STOPPING_JSON,
    ].join("\n"),
    error: STOPPING_JSON,
  },
  {
    name: "stops printing snapshots at ctrl-c",
    argv: ["top", "--interval-ms", "600000"],
    interrupts: true,
    replies: [FLEET, TEAMS],
    exitCode: ExitCode.Ok,
    out: VIEW,
    calls: ["GET /v1/fleet", "GET /v1/teams"],
  },
  {
    name: "prints the burn report and missing data",
    argv: ["report", "burn"],
    replies: [BURN],
    exitCode: ExitCode.Ok,
    out: [
      "no objective in the rules and no job recorded",
      "",
      "missing: s2 did not reply; its last heartbeat was received at 2029-12-31T23:59:00Z, and jobs that only it recorded are missing",
      "missing: no record of ledger from 2029-12-31T23:00:00Z to 2029-12-31T23:30:00Z",
      "told by s1",
      STAMP_LINE,
    ].join("\n"),
  },
  {
    name: "prints a failure as JSON, with the conflicting changes",
    argv: ["--json", "apply", "rules.yaml"],
    replies: [VERSION_4, STALE, {
      status: 200,
      body: { ...VERSION_4.body, version: 5, zones: { "tx-a": "draining" } },
    }],
    exitCode: ExitCode.Stale,
    error: JSON.stringify({
      error: {
        message: "No (stale-edit, not-run)",
        exitCode: 4,
        reason: "stale-edit",
        outcome: "not-run",
        retryable: false,
        details: [
          "changed from version 4 to 5:",
          '+ zones.tx-a: "draining"',
        ],
      },
    }),
  },
  {
    name: "prints a command-line error as JSON",
    argv: ["frobnicate", "--json"],
    exitCode: ExitCode.Usage,
    error:
      '{"error":{"message":"unknown command \'frobnicate\'","exitCode":2,"retryable":false}}',
  },
  {
    name: "reports that a withdrawn key is refused",
    argv: ["teams"],
    replies: [refused(401, RefusalReason.UnknownKey)],
    exitCode: ExitCode.Refused,
    error: "mustardweir: No (unknown-key, not-run)",
  },
  {
    name: "rejects a file that is neither inventory nor rules",
    argv: ["apply", "other.json"],
    exitCode: ExitCode.Usage,
    error:
      "mustardweir: other.json: neither an inventory (availabilityZones) nor rules (teams)",
  },
  {
    name: "rejects a section given twice",
    argv: ["apply", "rules.yaml", "rules.yaml"],
    exitCode: ExitCode.Usage,
    error: "mustardweir: rules is given twice",
  },
  {
    name: "rejects a missing file",
    argv: ["submit", "none.json"],
    exitCode: ExitCode.Usage,
    error: "mustardweir: none.json: can't be read (ENOENT)",
  },
  {
    name: "rejects an unknown command",
    argv: ["frobnicate"],
    exitCode: ExitCode.Usage,
    error: "mustardweir: unknown command 'frobnicate'",
  },
  {
    name: "rejects a version that is not a number",
    argv: ["drain", "tx-a", "--if-match", "x"],
    exitCode: ExitCode.Usage,
    error:
      "mustardweir: option '--if-match <version>' argument 'x' is invalid. It must be a whole number",
  },
  ...["0", "300001"].map((timeout): CliCase => ({
    name: `rejects a time limit of ${timeout} ms`,
    argv: ["teams", "--timeout-ms", timeout],
    exitCode: ExitCode.Usage,
    error:
      `mustardweir: option '--timeout-ms <ms>' argument '${timeout}' is invalid. It must be from 1 to 300000`,
    calls: [],
  })),
  {
    name: "rejects a viewer's key with a team",
    argv: ["keys", "grant", "v", "--role", "viewer", "--team", "imaging"],
    exitCode: ExitCode.Usage,
    error:
      "mustardweir: Only a submitter's key has a team; leave out --team or --role",
    calls: [],
  },
  {
    name: "rejects a submitter's key without a team",
    argv: ["keys", "grant", "k1"],
    exitCode: ExitCode.Usage,
    error: "mustardweir: A submitter's key requires a team: use --team",
    calls: [],
  },
  {
    name: "requires an entry's URL",
    argv: ["teams"],
    env: { MUSTARDWEIR_ENTRY: "" },
    exitCode: ExitCode.Usage,
    error:
      "mustardweir: An entry's URL is required: use --entry or MUSTARDWEIR_ENTRY",
  },
  {
    name: "requires that the CA file exists",
    argv: ["teams", "--ca", "none.json"],
    exitCode: ExitCode.Usage,
    error: "mustardweir: none.json: can't be read (ENOENT)",
  },
  {
    name: "requires a key",
    argv: ["teams"],
    env: { MUSTARDWEIR_KEY: "" },
    exitCode: ExitCode.Usage,
    error: "mustardweir: A key is required: use --key or MUSTARDWEIR_KEY",
  },
];

describe("Command line", () => {
  let server: Server;
  let replies: Reply[];
  let calls: string[];
  let entry: string;
  let folder: string;

  beforeEach(async () => {
    calls = [];
    server = createServer((req, res) => {
      calls.push(describeCall(req));
      const { status, body } = replies.shift() ?? { status: 500 };
      res.writeHead(status).end(JSON.stringify(body) ?? "");
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    entry = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    folder = mkdtempSync(join(tmpdir(), "mustardweir-cli-"));
    for (const [name, text] of Object.entries(FILES)) {
      writeFileSync(join(folder, name), text);
    }
  });

  afterEach(async () => {
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
    rmSync(folder, { recursive: true });
  });

  async function run(
    { argv, env, interrupts, isTerminal }: Pick<
      CliCase,
      "argv" | "env" | "interrupts" | "isTerminal"
    >,
  ) {
    const out: string[] = [];
    let interrupt = () => {};
    const errors: string[] = [];
    const exitCode = await runCli({
      argv: argv.map((arg) => /\.(yaml|json)$/.test(arg) ? inFolder(arg) : arg),
      env: { MUSTARDWEIR_ENTRY: entry, MUSTARDWEIR_KEY: "k", ...env },
      isTerminal,
      onInterrupt: (listener) => {
        interrupt = listener;
        return () => {};
      },
      print: (line) => {
        out.push(line);
        if (interrupts) {
          interrupt();
        }
      },
      printError: (line) => errors.push(line.replaceAll(inFolder(""), "")),
    });
    return { exitCode, out: out.join("\n"), error: errors.join("\n") };
  }

  function inFolder(name: string): string {
    return `${folder}/${name}`;
  }

  for (const testCase of CLI_CASES) {
    it(testCase.name, async () => {
      replies = [...testCase.replies ?? []];
      const result = await run(testCase);
      expect(result).to.deep.equal({
        exitCode: testCase.exitCode,
        out: testCase.out ?? "",
        error: testCase.error ?? "",
      });
      expect(calls).to.deep.equal(testCase.calls ?? calls);
    });
  }

  const HELP_CASES = [
    { argv: [], shows: "Exit codes:" },
    ...[
      "apply",
      "diff",
      "drain",
      "return",
      "keys grant",
      "keys withdraw",
      "keys list",
      "submit",
      "cancel",
      "status",
      "explain",
      "jobs",
      "teams",
      "report burn",
      "top",
      "completion bash",
      "completion zsh",
    ].map((name) => ({
      argv: name.split(" "),
      shows: `Examples:\n  mustardweir ${name}`,
    })),
  ];

  for (const { argv, shows } of HELP_CASES) {
    it(`prints the help of ${argv.join(" ") || "the program"}`, async () => {
      const { exitCode, out } = await run({ argv: [...argv, "--help"] });
      expect(exitCode).to.equal(ExitCode.Ok);
      expect(out).to.include(shows);
    });
  }

  it("reports that no entry responded", async () => {
    await new Promise((resolve) => server.close(resolve));
    const { exitCode, error } = await run({ argv: ["teams"] });
    server.listen(0, "127.0.0.1");
    expect(exitCode).to.equal(ExitCode.Unreachable);
    expect(error).to.match(/^mustardweir: No answer from http:\/\/127.0.0.1:/);
  });
});

function describeCall(req: IncomingMessage): string {
  const version = req.headers["if-match"];
  return [req.method, req.url, version].filter(Boolean).join(" ");
}

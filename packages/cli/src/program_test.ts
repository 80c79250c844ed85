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
  /** Replies in order; the last one is used again. */
  readonly replies?: readonly Reply[];
  readonly env?: Record<string, string>;
  readonly exitCode: ExitCode;
  readonly out?: string;
  /** The whole line of the error. */
  readonly error?: string;
  /** Method, path and version of the calls that the entry got. */
  readonly calls?: readonly string[];
}

const RULES = { teams: [{ name: "imaging", share: 1 }] };
const FILES: Readonly<Record<string, string>> = {
  "rules.yaml": "teams:\n  - name: imaging\n    share: 1\n",
  "bad.yaml": "teams:\n  - name: imaging\n    share: 0\n",
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

const STALE = refused(412, RefusalReason.StaleEdit);

const CLI_CASES: readonly CliCase[] = [
  {
    name: "applies what differs, the inventory first",
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
    name: "leaves alone what is in force",
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
    name: "does not apply over another edit",
    argv: ["apply", "rules.yaml"],
    replies: [VERSION_4, STALE],
    exitCode: ExitCode.Stale,
    error: "mustardweir: No (stale-edit, not-run)",
    calls: ["GET /v1/config", 'PUT /v1/config/rules "4"'],
  },
  {
    name: "drains again when another edit came first",
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
    name: "does not return a zone over another version than the one named",
    argv: ["return", "tx-a", "--if-match", "3"],
    replies: [STALE],
    exitCode: ExitCode.Stale,
    error: "mustardweir: No (stale-edit, not-run)",
    calls: ['POST /v1/config/zones/tx-a/return "3"'],
  },
  {
    name: "shows a granted key",
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
    name: "shows a job that was accepted",
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
    name: "names the idempotency key when a job may have been accepted",
    argv: ["submit", "job.json", "--idempotency-key", "k"],
    replies: [refused(504, RefusalReason.DeadlinePassed, Outcome.Unknown)],
    exitCode: ExitCode.Refused,
    error:
      "mustardweir: No (deadline-passed, unknown); to repeat it: --idempotency-key k",
  },
  {
    name: "says that a job was refused",
    argv: ["submit", "job.json"],
    replies: [refused(422, RefusalReason.Impossible)],
    exitCode: ExitCode.Refused,
    error: "mustardweir: No (impossible, not-run)",
  },
  {
    name: "says that a cancel was refused",
    argv: ["cancel", "imaging.1"],
    replies: [refused(403, RefusalReason.NotPermitted)],
    exitCode: ExitCode.Refused,
    error: "mustardweir: No (not-permitted, not-run)",
  },
  {
    name: "does not take another server's answer for an entry's",
    argv: ["teams"],
    replies: [{ status: 502 }],
    exitCode: ExitCode.Unreachable,
    error: "mustardweir: The entry answered 502 without a reason",
  },
  {
    name: "names the field of a file that is wrong",
    argv: ["apply", "bad.yaml"],
    exitCode: ExitCode.Usage,
    error:
      "mustardweir: bad.yaml: teams.0.share: Too small: expected number to be >0",
  },
  {
    name: "refuses a file that is neither",
    argv: ["apply", "other.json"],
    exitCode: ExitCode.Usage,
    error:
      "mustardweir: other.json: neither an inventory (availabilityZones) nor rules (teams)",
  },
  {
    name: "refuses a section given twice",
    argv: ["apply", "rules.yaml", "rules.yaml"],
    exitCode: ExitCode.Usage,
    error: "mustardweir: rules is given twice",
  },
  {
    name: "refuses a file that is not there",
    argv: ["submit", "none.json"],
    exitCode: ExitCode.Usage,
    error: "mustardweir: none.json: can't be read (ENOENT)",
  },
  {
    name: "refuses an unknown command",
    argv: ["frobnicate"],
    exitCode: ExitCode.Usage,
    error: "mustardweir: unknown command 'frobnicate'",
  },
  {
    name: "refuses a version that is not a number",
    argv: ["drain", "tx-a", "--if-match", "x"],
    exitCode: ExitCode.Usage,
    error:
      "mustardweir: option '--if-match <version>' argument 'x' is invalid. It must be a whole number",
  },
  {
    name: "needs an entry",
    argv: ["teams"],
    env: { MUSTARDWEIR_ENTRY: "" },
    exitCode: ExitCode.Usage,
    error: "mustardweir: Name an entry's URL with --entry or MUSTARDWEIR_ENTRY",
  },
  {
    name: "needs a key",
    argv: ["teams"],
    env: { MUSTARDWEIR_KEY: "" },
    exitCode: ExitCode.Usage,
    error: "mustardweir: Give your key with --key or MUSTARDWEIR_KEY",
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

  async function run({ argv, env }: Pick<CliCase, "argv" | "env">) {
    const out: string[] = [];
    const errors: string[] = [];
    const exitCode = await runCli({
      argv: argv.map((arg) => /\.(yaml|json)$/.test(arg) ? inFolder(arg) : arg),
      env: { MUSTARDWEIR_ENTRY: entry, MUSTARDWEIR_KEY: "k", ...env },
      print: (line) => out.push(line),
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

  it("says that no entry answered", async () => {
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

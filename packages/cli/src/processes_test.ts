import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Cluster, FleetName, OPERATOR_KEY, readFleet } from "@mustardweir/demo";
import { expect } from "chai";
import { ExitCode, runCli } from "./mod.ts";

/** High, since all processes start at the same time. */
const START_LIMIT_MS = 60_000;

/** Interval of retries of a step that waits for an earlier change to apply. */
const RETRY_MS = 100;
const TRIES = 150;

/** A payload that must not appear in any log. */
const PAYLOAD = "a secret body";

interface Step {
  readonly argv: readonly string[];
  /** Whether to use the submitter's key instead of the operator's. */
  readonly asSubmitter?: boolean;
  readonly entry?: string;
  /** `ExitCode.Ok` by default. */
  readonly exitCode?: ExitCode;
  readonly out?: RegExp;
  readonly error?: RegExp;
}

const JOB = ["--kind", "batch", "--cpu", "1", "--memory-mb", "64"];
const ZONE = "tx-central-b";
const STAMPED = /^as of \d{4}-\S+Z, configuration version \d+$/m;

/** Commands of an operator and a submitter, in order of execution. */
const STEPS: readonly Step[] = [
  {
    argv: ["apply", "fleet.json", "rules.json"],
    out: /^rules unchanged in version 3$/m,
  },
  { argv: ["diff", "rules.json"], out: /^0 differences to version 3$/m },
  { argv: ["status"], out: /^tx-central-a +open +12 +640\/640/m },
  { argv: ["teams"], out: /^storefront +4 +28\.6%.* 0 /m },
  { argv: ["keys", "list"], out: /^s1 +submitter +storefront/m },
  {
    argv: ["submit", ...JOB, "--payload", PAYLOAD, "--wait"],
    asSubmitter: true,
    out: /outcome done, reason completed/,
  },
  {
    argv: ["submit", ...JOB, "--payload", '{"fail":true}', "--wait"],
    asSubmitter: true,
    exitCode: ExitCode.JobFailed,
    out: /reason failed/,
  },
  {
    argv: ["submit", ...JOB, "--cpu", "9000"],
    asSubmitter: true,
    exitCode: ExitCode.Refused,
    error: /impossible, not-run/,
  },
  {
    argv: ["submit", "--kind", "service", "--cpu", "1", "--memory-mb", "64"],
    asSubmitter: true,
    out: /^storefront\.\w+, waiting/,
  },
  { argv: ["jobs", "--state", "running"], out: /^storefront\.\w+ .* running/m },
  { argv: ["explain", "JOB"], out: /^storefront\.\w+: It is running/ },
  { argv: ["status", "JOB"], out: /, running, 1 running/ },
  { argv: ["cancel", "JOB"], out: STAMPED },
  { argv: ["drain", ZONE], out: /^drain of tx-central-b in version \d+$/m },
  { argv: ["status"], out: /^tx-central-b +draining/m },
  { argv: ["return", ZONE], out: /^return of tx-central-b in version \d+$/m },
  { argv: ["top", "--count", "1"], out: STAMPED },
  { argv: ["report", "burn"], out: /^told by scheduler-1, scheduler-2$/m },
  {
    argv: ["drain", ZONE, "--if-match", "1"],
    exitCode: ExitCode.Stale,
    error: /stale-edit, not-run/,
  },
  {
    argv: ["drain", "nowhere"],
    exitCode: ExitCode.Refused,
    error: /zones\.nowhere: the inventory has no such availability zone/,
  },
  {
    argv: ["apply", "broken.yaml"],
    exitCode: ExitCode.Usage,
    error: /^mustardweir: \S+broken\.yaml:3: teams\.0\.share \(imaging\): /,
  },
  { argv: ["keys", "withdraw", "s1"], out: /^withdrawal of s1 in version \d/m },
  {
    argv: ["teams"],
    asSubmitter: true,
    exitCode: ExitCode.Refused,
    error: /unknown-key, not-run/,
  },
  {
    argv: ["teams"],
    entry: "http://127.0.0.1:1",
    exitCode: ExitCode.Unreachable,
    error: /^mustardweir: No answer from http:\/\/127\.0\.0\.1:1: /,
  },
];

describe("Command line against processes", function () {
  this.timeout(START_LIMIT_MS);

  const fleet = readFleet(FleetName.LoneStar);
  const logs: string[] = [];
  let cluster: Cluster;
  let folder: string;
  let submitterKey = "";
  let job = "";

  before(async () => {
    folder = mkdtempSync(join(tmpdir(), "mustardweir-processes-"));
    const onLog = (_name: string, line: string) => logs.push(line);
    cluster = new Cluster({ fleet, nodes: 2, onLog });
    await cluster.start();
    writeFileSync(
      inFolder("fleet.json"),
      JSON.stringify(cluster.inventory),
    );
    writeFileSync(inFolder("rules.json"), JSON.stringify(fleet.rules));
    writeFileSync(
      inFolder("broken.yaml"),
      "teams:\n  - name: imaging\n    share: 0\n",
    );
  });

  after(async () => {
    await cluster.stop();
    rmSync(folder, { recursive: true });
  });

  function inFolder(name: string): string {
    return join(folder, name);
  }

  async function run({ argv, asSubmitter, entry = cluster.entries[0] }: Step) {
    const out: string[] = [];
    const errors: string[] = [];
    const exitCode = await runCli({
      argv: argv.map((arg) =>
        arg === "JOB" ? job : /\.(json|yaml)$/.test(arg) ? inFolder(arg) : arg
      ),
      env: {
        MUSTARDWEIR_ENTRY: entry,
        MUSTARDWEIR_KEY: asSubmitter ? submitterKey : OPERATOR_KEY,
      },
      print: (line) => out.push(line),
      printError: (line) => errors.push(line),
    });
    return { exitCode, out: out.join("\n"), error: errors.join("\n") };
  }

  /** Runs a step until its result is as expected, at most `TRIES` times. */
  async function runUntilExpected(step: Step) {
    const { exitCode = ExitCode.Ok, out = /^/, error = /^/ } = step;
    let result = await run(step);
    for (let tries = 1; tries < TRIES; tries += 1) {
      const isDone = result.exitCode === exitCode && out.test(result.out) &&
        error.test(result.error);
      if (isDone) {
        break;
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
      result = await run(step);
    }
    return result;
  }

  it("grants a key and prints it once", async () => {
    const argv = ["apply", "fleet.json", "rules.json"];
    await runUntilExpected({ argv });
    const grant = ["keys", "grant", "s1", "--team", "storefront"];
    const { out } = await runUntilExpected({ argv: grant, out: /^mw_/ });
    submitterKey = out.split("\n")[0] ?? "";
    expect(submitterKey).to.match(/^mw_\S{43}$/);
    const list = await run({ argv: ["--json", "keys", "list"] });
    expect(list.out).not.to.include(submitterKey);
  });

  for (const step of STEPS) {
    const { argv, exitCode = ExitCode.Ok, out = /^/, error = /^$/ } = step;
    it(`exits with ${exitCode}: ${argv.slice(0, 3).join(" ")}`, async () => {
      const result = await runUntilExpected(step);
      expect(result.exitCode).to.equal(exitCode);
      expect(result.out).to.match(out);
      expect(result.error).to.match(error);
      if (argv[0] === "submit") {
        job = /^storefront\.\w+/.exec(result.out)?.[0] ?? job;
      }
    });
  }

  it("writes no key and no payload to any log", () => {
    const text = logs.join("\n");
    expect(text).to.include("Operator edited configuration");
    for (const secret of [PAYLOAD, OPERATOR_KEY, submitterKey]) {
      expect(text).not.to.include(secret);
    }
  });
});

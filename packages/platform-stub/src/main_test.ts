import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import { expect } from "chai";
import { PlatformServer } from "./mod.ts";

const MAIN = fileURLToPath(new URL("./main.ts", import.meta.url));
const PREFIX = "MUSTARDWEIR_PLATFORM_";

type Environment = Readonly<Record<string, string>>;

interface Output {
  readonly child: ChildProcess;
  stdout: string;
  stderr: string;
}

function run(args: readonly string[], env: Environment = {}): Output {
  const child = spawn(
    process.execPath,
    ["--import=tsx", MAIN, ...args],
    { env: { ...process.env, ...env }, stdio: ["ignore", "pipe", "pipe"] },
  );
  const output: Output = { child, stdout: "", stderr: "" };
  child.stdout?.on("data", (chunk) => output.stdout += chunk);
  child.stderr?.on("data", (chunk) => output.stderr += chunk);
  return output;
}

async function exitCode({ child }: Output): Promise<number | null> {
  const [code] = await once(child, "close");
  return code;
}

interface BadSettingCase {
  readonly args?: readonly string[];
  readonly env?: Environment;
  readonly message: RegExp;
}

const BAD_SETTING_CASES: readonly BadSettingCase[] = [
  {
    args: ["--listen", "127.0.0.1"],
    message: /Expected an IP number and port/,
  },
  { args: ["--listen", "example:80"], message: /--listen .*Expected an IP/ },
  { args: ["--listen", "127.0.0.1:65536"], message: /Expected an IP number/ },
  { args: ["--list-lag-ms", "soon"], message: /--list-lag-ms .*whole number/ },
  { args: ["--slow-ms", "2147483648"], message: /from 0 to 2147483647/ },
  { args: ["--lose-answers", "1.1"], message: /Expected a fraction/ },
  { args: ["--down", "yes"], message: /Expected true or false/ },
  { args: ["--speed", "1"], message: /unknown option '--speed'/ },
  { args: ["start"], message: /too many arguments/ },
  { env: { [`${PREFIX}LATE_WRITES`]: "" }, message: /LATE_WRITES.*fraction/ },
];

interface ServingCase {
  readonly args?: readonly string[];
  readonly env?: Environment;
  readonly signal: NodeJS.Signals;
  /** Some of the active faults. */
  readonly faults: object;
}

const SERVING_CASES: readonly ServingCase[] = [
  {
    args: ["--listen", "127.0.0.1:0", "--down", "--late-writes=0.5"],
    signal: "SIGTERM",
    faults: { down: true, lateWrites: 0.5, silent: false },
  },
  {
    env: {
      [`${PREFIX}LISTEN`]: "127.0.0.1:0",
      [`${PREFIX}SLOW_MS`]: "7",
      [`${PREFIX}DOWN`]: "false",
      [`${PREFIX}SILENT`]: "true",
    },
    signal: "SIGINT",
    faults: { slowMs: 7, down: false, silent: true },
  },
];

describe("mustardweir-platform", () => {
  for (const { args = [], env, message } of BAD_SETTING_CASES) {
    it(`exits with one line on ${JSON.stringify(env ?? args)}`, async () => {
      const output = run(args, env);
      expect(await exitCode(output)).to.equal(2);
      expect(output.stdout).to.equal("");
      expect(output.stderr).to.match(message).and.match(/^[^\n]+\n$/);
    });
  }

  for (const { args = [], env, signal, faults } of SERVING_CASES) {
    it(`serves until ${signal} with ${JSON.stringify(faults)}`, async () => {
      const output = run(args, env);
      await once(output.child.stdout!, "data");
      const [, url] = /^listening on (\S+)\n$/.exec(output.stdout) ?? [];
      const res = await fetch(`${url}/v1/faults`);
      expect(await res.json()).to.include(faults);
      output.child.kill(signal);
      expect(await exitCode(output)).to.equal(0);
      expect(output.stdout).to.equal(`listening on ${url}\n`);
    });
  }

  it("exits with one line when the address is in use", async () => {
    const server = new PlatformServer();
    const { host } = new URL(await server.listen());
    const output = run(["--listen", host]);
    expect(await exitCode(output)).to.equal(1);
    expect(output.stderr).to.match(/^Can't listen: .*EADDRINUSE.*\n$/);
    await server.close();
  });
});

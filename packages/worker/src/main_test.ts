import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { text } from "node:stream/consumers";
import { fileURLToPath } from "node:url";
import { expect } from "chai";

const MAIN = fileURLToPath(new URL("main.ts", import.meta.url));
const WORKER = ["--worker", "w1,4,1000,0,2", "--listen", "127.0.0.1:0"];
const LISTENING = /^listening on http:\/\/127\.0\.0\.1:\d+\n$/;

interface MainCase {
  readonly name: string;
  readonly args: readonly string[];
  readonly signal?: NodeJS.Signals;
  readonly exitCode: number;
  readonly stdout: RegExp;
  readonly stderr: RegExp;
}

const MAIN_CASES: readonly MainCase[] = [
  ...(["SIGTERM", "SIGINT"] as const).map((signal) => ({
    name: `serves until ${signal}`,
    args: WORKER,
    signal,
    exitCode: 0,
    stdout: LISTENING,
    stderr: /^$/,
  })),
  {
    name: "exits with one line on a bad setting",
    args: [...WORKER, "--seed", "x"],
    exitCode: 2,
    stdout: /^$/,
    stderr: /^mustardweir-worker: --seed: .+\n$/,
  },
  {
    name: "exits with one line when it can't listen",
    args: [...WORKER, "--listen", "192.0.2.1:0"],
    exitCode: 1,
    stdout: /^$/,
    stderr: /^mustardweir-worker: .*EADDRNOTAVAIL.*\n$/,
  },
];

function start(args: readonly string[]): ChildProcess {
  return spawn(process.execPath, ["--import=tsx", MAIN, ...args]);
}

describe("mustardweir-worker", () => {
  for (const { name, args, signal, exitCode, stdout, stderr } of MAIN_CASES) {
    it(name, async () => {
      const child = start(args);
      const exited = once(child, "exit");
      const printed = [text(child.stdout!), text(child.stderr!)];
      if (signal !== undefined) {
        await once(child.stdout!, "data");
        child.kill(signal);
      }
      const [code] = await exited;
      const [out, err] = await Promise.all(printed);
      expect(err).to.match(stderr);
      expect(out).to.match(stdout);
      expect(code).to.equal(exitCode);
    });
  }
});

/** Runs the shell blocks of a page in their own folder and process group. */
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { findFreePorts } from "../ports.ts";
import { rootPath } from "./page.ts";

/** The environment variables for ports that the pages use. */
const PORT_VARIABLES = [
  "PLATFORM_PORT",
  "WORKERS_PORT",
  "SCHEDULER1_PORT",
  "SCHEDULER2_PORT",
  "SCHEDULER3_PORT",
  "ENTRY1_PORT",
  "ENTRY2_PORT",
  "ADMIN_PORT",
] as const;

/** Longest run of one page, in milliseconds; its processes are killed then. */
const RUN_TIMEOUT_MS = 150_000;

/** The result of running a page's script. */
export interface PageRun {
  /** Undefined if the script was killed. */
  readonly exitCode: number | undefined;
  /** Output of both streams, in the order of arrival. */
  readonly output: string;
}

/**
 * Runs a script with `bash` up to the first command that fails. All processes
 * that it started are killed at its end.
 *
 * @example
 * ```ts
 * const { exitCode, output } = await runPage("mustardweir --help");
 * ```
 */
export async function runPage(script: string): Promise<PageRun> {
  const folder = mkdtempSync(join(tmpdir(), "mustardweir-page-"));
  const child = spawn("bash", ["-euo", "pipefail", "-c", script], {
    cwd: folder,
    env: await createEnvironment(),
    // Its own process group, so that remaining processes can be killed.
    detached: true,
    stdio: ["ignore", "pipe", "pipe"],
  });
  const lines: string[] = [];
  child.stdout.on("data", (data) => lines.push(String(data)));
  child.stderr.on("data", (data) => lines.push(String(data)));
  const limit = setTimeout(() => killProcessGroup(child.pid), RUN_TIMEOUT_MS);
  const closed = new Promise((resolve) => child.once("close", resolve));
  const exitCode = await new Promise<number | undefined>((resolve) => {
    child.once("exit", (code) => resolve(code ?? undefined));
  });
  clearTimeout(limit);
  killProcessGroup(child.pid);
  await closed;
  rmSync(folder, { recursive: true, force: true });
  return { exitCode, output: lines.join("") };
}

async function createEnvironment(): Promise<NodeJS.ProcessEnv> {
  const ports = await findFreePorts(PORT_VARIABLES.length);
  const named = PORT_VARIABLES.map((name, index) =>
    [name, String(ports[index])] as const
  );
  const inherited = Object.entries(process.env).filter(([name]) =>
    !name.startsWith("MUSTARDWEIR_")
  );
  return {
    ...Object.fromEntries(inherited),
    ...Object.fromEntries(named),
    PATH: `${rootPath("node_modules/.bin")}:${process.env.PATH}`,
  };
}

function killProcessGroup(pid: number | undefined): void {
  try {
    if (pid !== undefined) {
      process.kill(-pid, "SIGKILL");
    }
  } catch {
    // The group has no processes left.
  }
}

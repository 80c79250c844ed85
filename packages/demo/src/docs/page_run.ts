/** Runs the shell blocks of a page in a folder and a process group of its own. */
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { freePorts } from "../ports.ts";
import { rootPath } from "./page.ts";

/** The variables of the pages that name a port. */
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

/** Longest run of one page; what it started is ended then. */
const RUN_LIMIT_MS = 150_000;

/** How a script of a page went. */
export interface PageRun {
  /** Undefined when the run was ended by force. */
  readonly exitCode: number | undefined;
  /** Both streams in the order in which they came. */
  readonly output: string;
}

/**
 * Runs a script as `bash` does and stops at the first command that fails. No
 * process that it started outlives it.
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
    // A group of its own, so that the processes it leaves can be ended.
    detached: true,
    stdio: ["ignore", "pipe", "pipe"],
  });
  const lines: string[] = [];
  child.stdout.on("data", (data) => lines.push(String(data)));
  child.stderr.on("data", (data) => lines.push(String(data)));
  const limit = setTimeout(() => endGroup(child.pid), RUN_LIMIT_MS);
  const closed = new Promise((resolve) => child.once("close", resolve));
  const exitCode = await new Promise<number | undefined>((resolve) => {
    child.once("exit", (code) => resolve(code ?? undefined));
  });
  clearTimeout(limit);
  endGroup(child.pid);
  await closed;
  rmSync(folder, { recursive: true, force: true });
  return { exitCode, output: lines.join("") };
}

async function createEnvironment(): Promise<NodeJS.ProcessEnv> {
  const ports = await freePorts(PORT_VARIABLES.length);
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

function endGroup(pid: number | undefined): void {
  try {
    if (pid !== undefined) {
      process.kill(-pid, "SIGKILL");
    }
  } catch {
    // Nothing of the group is left.
  }
}

import { readFileSync } from "node:fs";
import { isIP } from "node:net";
import type { Resources } from "@mustardweir/model";
import { describeIssue } from "@mustardweir/target-client";
import { Command, CommanderError, Option } from "commander";
import { err, ok, type Result } from "neverthrow";
import { parse } from "yaml";
import * as z from "zod";

const MAX_PORT = 65_535;
const ENV_PREFIX = "MUSTARDWEIR_WORKER_";

/** A worker as it is described in the settings. */
export interface WorkerSpec {
  readonly id: string;
  readonly capacity: Resources;
}

/** The validated settings of the worker binary, with defaults applied. */
export interface WorkerSettings {
  readonly host: string;
  readonly port: number;
  readonly workers: readonly WorkerSpec[];
  readonly seed: number;
  readonly durationError: number;
  readonly memoryFactor: number;
  readonly usageLagMs: number;
}

/** An invalid setting; the message is one line. */
export class SettingsError extends Error {
  override readonly name = "SettingsError";
}

const workerSchema = z.object({
  id: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, "is not a worker id"),
  cpu: z.coerce.number().positive(),
  memoryMb: z.coerce.number().int().positive(),
  accelerators: z.coerce.number().int().nonnegative().default(0),
  slots: z.coerce.number().int().positive(),
}).transform(({ id, cpu, ...rest }): WorkerSpec => ({
  id,
  capacity: { cpuMillis: Math.floor(cpu * 1000), ...rest },
}));

const settingsSchema = z.object({
  seed: z.coerce.number().int(),
  durationError: z.coerce.number().min(1),
  memoryFactor: z.coerce.number().positive(),
  usageLagMs: z.coerce.number().nonnegative(),
});

const FLAGS: Readonly<Record<string, string>> = {
  seed: "--seed",
  durationError: "--duration-error",
  memoryFactor: "--memory-factor",
  usageLagMs: "--usage-lag-ms",
};

interface RawOptions {
  readonly listen: string;
  readonly worker: readonly string[];
  readonly workersFile?: string;
  readonly seed: string;
  readonly durationError: string;
  readonly memoryFactor: string;
  readonly usageLagMs: string;
}

/**
 * Reads the settings from arguments and from environment variables named
 * `MUSTARDWEIR_WORKER_*`; arguments take precedence. Prints the help when
 * `--help` is given.
 *
 * @example
 * ```ts
 * const settings = parseSettings(["--worker", "w1,64,262144,0,8"]);
 * ```
 */
export function parseSettings(
  args: readonly string[],
): Result<WorkerSettings, SettingsError> {
  const command = createCommand();
  try {
    command.parse(args, { from: "user" });
    return ok(checkOptions(command.opts<RawOptions>()));
  } catch (cause) {
    if (cause instanceof SettingsError) {
      return err(cause);
    }
    if (cause instanceof CommanderError) {
      return err(new SettingsError(cause.message.replace(/^error: /, "")));
    }
    throw cause;
  }
}

function createCommand(): Command {
  return new Command("mustardweir-worker")
    .description("Stand-in for workers that run tasks under leases")
    .addOption(
      setting("--listen <host:port>", "where to listen")
        .default("127.0.0.1:7080"),
    )
    .addOption(
      setting(
        "--worker <spec>",
        "id,cpu,memoryMb,accelerators,slots; repeatable, or separated by ;",
      ).argParser(collect).default([]),
    )
    .addOption(setting("--workers-file <path>", "JSON or YAML list of workers"))
    .addOption(
      setting("--seed <n>", "seed of the random run times").default("1"),
    )
    .addOption(
      setting(
        "--duration-error <factor>",
        "largest ratio of actual to declared run time; 1 is exact",
      ).default("1"),
    )
    .addOption(
      setting("--memory-factor <factor>", "ratio of actual to declared memory")
        .default("1"),
    )
    .addOption(
      setting("--usage-lag-ms <ms>", "age of the usage that is reported")
        .default("0"),
    )
    .showSuggestionAfterError(false)
    .configureOutput({ writeErr: () => {} })
    .exitOverride((err) => {
      if (err.exitCode !== 0) {
        throw err;
      }
    });
}

function setting(flags: string, description: string): Option {
  const option = new Option(flags, description);
  const name = option.name().replaceAll("-", "_").toUpperCase();
  return option.env(`${ENV_PREFIX}${name}`);
}

function collect(text: string, before: readonly string[]): readonly string[] {
  return [...before, ...text.split(";")];
}

function checkOptions(raw: RawOptions): WorkerSettings {
  const numbers = settingsSchema.safeParse(raw);
  if (!numbers.success) {
    const issue = numbers.error.issues[0];
    const flag = FLAGS[String(issue?.path[0])];
    throw new SettingsError(`${flag}: ${issue?.message}`);
  }
  const workers = [
    ...raw.worker.map(parseWorker),
    ...readWorkersFile(raw.workersFile),
  ];
  checkIds(workers);
  return { ...parseListen(raw.listen), workers, ...numbers.data };
}

function parseListen(text: string): { host: string; port: number } {
  const match = /^(.+):(\d+)$/.exec(text);
  const host = (match?.[1] ?? "").replace(/^\[(.*)\]$/, "$1");
  const port = Number(match?.[2]);
  if (isIP(host) === 0 || !(port <= MAX_PORT)) {
    throw new SettingsError(`--listen: ${text} is not an IP address and port`);
  }
  return { host, port };
}

function parseWorker(text: string): WorkerSpec {
  const fields = text.split(",");
  if (fields.length !== 5) {
    throw new SettingsError(
      `--worker: ${text} is not id,cpu,memoryMb,accelerators,slots`,
    );
  }
  const [id, cpu, memoryMb, accelerators, slots] = fields;
  const spec = { id, cpu, memoryMb, accelerators, slots };
  return checkWorker(spec, "--worker");
}

function readWorkersFile(path: string | undefined): WorkerSpec[] {
  if (path === undefined) {
    return [];
  }
  let value: unknown;
  try {
    value = parse(readFileSync(path, "utf8"));
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : String(cause);
    throw new SettingsError(`--workers-file: ${message.split("\n", 1)[0]}`);
  }
  if (!Array.isArray(value)) {
    throw new SettingsError(`--workers-file: ${path} is not a list`);
  }
  return value.map((item) => checkWorker(item, "--workers-file"));
}

function checkWorker(value: unknown, flag: string): WorkerSpec {
  const parsed = workerSchema.safeParse(value);
  if (!parsed.success) {
    throw new SettingsError(`${flag}: ${describeIssue(parsed.error)}`);
  }
  return parsed.data;
}

function checkIds(workers: readonly WorkerSpec[]): void {
  if (workers.length === 0) {
    throw new SettingsError("--worker: At least one worker is needed");
  }
  const seen = new Set<string>();
  for (const { id } of workers) {
    if (seen.has(id)) {
      throw new SettingsError(`--worker: ${id} is given twice`);
    }
    seen.add(id);
  }
}

import { randomUUID } from "node:crypto";
import process from "node:process";
import { HostedWorker } from "./hosted_worker.ts";
import { parseSettings, type WorkerSettings } from "./settings.ts";
import { PayloadTaskModel } from "./task_model.ts";
import { WorkerServer } from "./worker_server.ts";
import { WorkerState } from "./worker_state.ts";

const EXIT_FAILURE = 1;
const EXIT_BAD_SETTINGS = 2;

/** Starts the workers and serves them until SIGTERM or SIGINT. */
async function main(): Promise<void> {
  const settings = parseSettings(process.argv.slice(2));
  if (settings.isErr()) {
    fail(settings.error, EXIT_BAD_SETTINGS);
    return;
  }
  const { host, port } = settings.value;
  const workers = createWorkers(settings.value);
  const server = new WorkerServer({ host, port, workers });
  const origin = await server.start();
  stopOnSignal(server);
  console.log(`listening on ${origin}`);
}

function createWorkers(settings: WorkerSettings): HostedWorker[] {
  return settings.workers.map((spec, index) => {
    const model = new PayloadTaskModel({
      seed: settings.seed + index,
      durationError: settings.durationError,
      memoryFactor: settings.memoryFactor,
    });
    const state = new WorkerState({
      capacity: spec.capacity,
      incarnation: randomUUID(),
      usageLagMs: settings.usageLagMs,
      model,
    });
    return new HostedWorker(spec.id, state);
  });
}

function stopOnSignal(server: WorkerServer): void {
  let stopping = false;
  for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.on(signal, () => {
      if (!stopping) {
        stopping = true;
        void server.stop().then(() => process.exit(0));
      }
    });
  }
}

function fail(err: Error, exitCode: number): void {
  console.error(`mustardweir-worker: ${err.message.split("\n", 1)[0]}`);
  process.exitCode = exitCode;
}

main().catch((err: Error) => fail(err, EXIT_FAILURE));

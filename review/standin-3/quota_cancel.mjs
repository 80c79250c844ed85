// QUOTA: a team works at its ceiling; the node that owns the scheduling loses
// power, and clients cancel some submissions before another node has taken over.
// Exit codes as in runCase.
import { delay, HOST, newId, runCase } from "./harness.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const RUNNERS = 12;
const TASK_CPU = 1_000;
const CAP_TASKS = 60;
const QUOTA_OVER = 0.1;
const TASK_MS = 20_000;
const JOB_TASKS = 4;
const JOBS = 25;
const CANCELLED = 3;
const DARK_MS = 3_500;
const PREFIX = "/batch/";
const KEY = "key-team";

await runCase(process.argv[2], async (bench) => {
  bench.configure({
    routes: [{
      name: "r-batch",
      host: HOST,
      path_prefix: PREFIX,
      kind: "unsafe",
      timeout_ms: 3_000,
      target_latency_ms: 3_000,
      priority: 1,
      service: "ovens",
      max_attempts: 4,
      stretch: 4,
      public: false,
    }],
    services: [{ name: "ovens", rejects_overload: false, spare: false }],
    tenants: [{
      name: "team",
      api_keys: [KEY],
      weight: 50,
      cap: { cpu: CAP_TASKS * TASK_CPU, mem_mb: 0, gpu: 0 },
    }],
  });
  await bench.addRunners(RUNNERS, { service: "ovens", cpu: 16_000 });
  await bench.addNodes(4);
  const running = () =>
    bench.runners.reduce((sum, runner) => sum + runner.running.size, 0);
  const allowed = CAP_TASKS * (1 + QUOTA_OVER) + 1;
  let highest = 0;
  const over = [];
  bench.onStart = (task) => {
    const tasks = running();
    highest = Math.max(highest, tasks);
    if (tasks > allowed) {
      over.push({ at: bench.atMs, task, tasks });
    }
  };
  for (let job = 0; job < JOBS; job++) {
    await bench.submit({
      id: newId(),
      prefix: PREFIX,
      key: KEY,
      body: {
        spec: JSON.stringify({ run: TASK_MS }),
        steps: [{
          count: JOB_TASKS,
          cpu: TASK_CPU,
          mem_mb: 100,
          estimate_ms: TASK_MS,
        }],
      },
    });
  }
  await bench.waitUntil(
    () => running() >= CAP_TASKS,
    15_000,
    "the team is at its ceiling",
  );
  await delay(1_500);
  const before = running();
  const owner = bench.leader;
  if (TROUBLE) {
    owner.restartMs = DARK_MS;
    bench.kill(owner);
  }
  const ids = [
    ...new Set(bench.runners.flatMap(({ running }) =>
      [...running.keys()].map((task) => task.split(".")[0])
    )),
  ].slice(0, CANCELLED);
  const others = bench.nodes.filter((node) => node !== owner);
  let cancelled = 0;
  await Promise.all(ids.map(async (id, index) => {
    const { status } = await bench.call(others[index % others.length], {
      method: "DELETE",
      path: PREFIX + id,
      key: KEY,
    });
    bench.note("cancel", { id, status });
    cancelled += status === 200 ? 1 : 0;
  }));
  await delay(8_000);
  return {
    broken: over.length > 0,
    cap: CAP_TASKS,
    allowed,
    before,
    cancelled,
    highest,
    over: over.slice(0, 10),
  };
});

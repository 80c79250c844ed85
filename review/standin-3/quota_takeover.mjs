// QUOTA: a team works at its ceiling; some runners are cut off and the node that
// owns the scheduling is killed. Exit codes as in runCase.
import { delay, HOST, newId, now, runCase } from "./harness.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const RUNNERS = 12;
const CUT = 2; // 0.167 of the runners
const TASK_CPU = 1_000;
const CAP_TASKS = 60;
const QUOTA_OVER = 0.1;
const TASK_MS = 12_000;
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
  const submit = (tasks) =>
    bench.submit({
      id: newId(),
      prefix: PREFIX,
      key: KEY,
      body: {
        spec: JSON.stringify({ run: TASK_MS }),
        steps: [{
          count: tasks,
          cpu: TASK_CPU,
          mem_mb: 100,
          estimate_ms: TASK_MS,
        }],
      },
    });
  await Promise.all(Array.from({ length: 12 }, () => submit(5)));
  await bench.waitUntil(
    () => running() >= CAP_TASKS,
    15_000,
    "the team is at its ceiling",
  );
  const before = running();
  let isOver = false;
  const traffic = (async () => {
    while (!isOver) {
      void submit(2);
      await delay(250);
    }
  })();
  await delay(1_000);
  const cut = bench.runners.slice(0, CUT);
  const hidden = cut.reduce((sum, runner) => sum + runner.running.size, 0);
  if (TROUBLE) {
    cut.forEach((runner) => runner.setCut(true));
    bench.kill(bench.leader);
    await delay(5_500);
    cut.forEach((runner) => runner.setCut(false));
  } else {
    await delay(5_500);
  }
  await delay(2_000);
  isOver = true;
  await traffic;
  return {
    broken: over.length > 0,
    cap: CAP_TASKS,
    allowed,
    before,
    hidden,
    highest,
    over: over.slice(0, 10),
  };
});

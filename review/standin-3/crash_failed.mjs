// LOST: runners go down and up by turns. No task ever ends `failed`, so no
// submission may be shown as `failed`. Exit codes as in runCase.
import { delay, HOST, newId, runCase } from "./harness.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const RUNNERS = 8;
const CRASHES = 40;
const GAP_MS = 1_000;
const DOWN_MS = 500;
const TASK_MS = 1_500;
const MAX_ATTEMPTS = 4;
const PREFIX = "/orders/";
const KEY = "key-shop";

await runCase(process.argv[2], async (bench) => {
  bench.configure({
    routes: [{
      name: "r-orders",
      host: HOST,
      path_prefix: PREFIX,
      kind: "unsafe",
      timeout_ms: 3_000,
      target_latency_ms: 3_000,
      priority: 0,
      service: "ovens",
      max_attempts: MAX_ATTEMPTS,
      stretch: 2,
      public: false,
    }],
    services: [{ name: "ovens", rejects_overload: false, spare: false }],
    tenants: [{ name: "shop", api_keys: [KEY], weight: 50, cap: {} }],
  });
  await bench.addRunners(RUNNERS, { service: "ovens", cpu: 16_000 });
  await bench.addNodes(4);
  const ids = [];
  const submit = async (step) => {
    const id = newId();
    const isAccepted = await bench.submit({
      id,
      prefix: PREFIX,
      key: KEY,
      body: { spec: JSON.stringify({ run: TASK_MS }), steps: [step] },
    });
    if (isAccepted) {
      ids.push(id);
    }
  };
  let isOver = false;
  const traffic = (async () => {
    while (!isOver) {
      void submit({
        count: 2,
        cpu: 1_000,
        mem_mb: 100,
        estimate_ms: TASK_MS,
      });
      await delay(150);
    }
  })();
  await delay(2_000);
  for (let crash = 0; crash < CRASHES; crash++) {
    if (TROUBLE) {
      const up = bench.runners.filter(({ isUp }) => isUp);
      const runner = up[Math.floor(Math.random() * up.length)];
      runner.crash();
      void delay(DOWN_MS).then(() => runner.start());
    }
    await delay(GAP_MS);
  }
  isOver = true;
  await traffic;
  await delay(6_000);
  const failed = [];
  const states = {};
  for (const id of ids) {
    const state = await bench.state({ id, prefix: PREFIX, key: KEY });
    states[state] = (states[state] ?? 0) + 1;
    if (state === "failed") {
      const ends = {};
      for (const { task, how } of bench.ends) {
        if (task.startsWith(id)) {
          ends[how] = (ends[how] ?? 0) + 1;
        }
      }
      failed.push({ id, ends });
    }
  }
  const failedEnds = bench.ends.filter(({ how }) => how === "failed").length;
  return {
    broken: failed.length > 0,
    accepted: ids.length,
    states,
    failedEnds,
    crashes: bench.ends.filter(({ how }) => how === "crash").length,
    failed: failed.slice(0, 10),
  };
});

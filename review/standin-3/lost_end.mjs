// TWICE: the store is slow, and idle runners crash and start again at once under
// the same id. Exit codes as in runCase.
import { delay, findTwice, HOST, newId, now, runCase } from "./harness.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const RUNNERS = 8;
const SLOW = 60;
const SLOW_MS = 4_500;
const WINDOWS = 6;
const CRASHES = 5; // in each window
const TASK_MS = 50;
const DOWN_MS = 100;
const PREFIX = "/orders/";
const KEY = "key-shop";

/**
 * Crashes a runner that runs nothing and whose last ends have been listed twice
 * and not yet been observed.
 */
async function crashIdle(bench, untilMs) {
  while (now() < untilMs) {
    const runner = bench.runners.find((each) =>
      each.isUp && each.running.size === 0 && each.ended.length > 0 &&
      each.relistedEnd === each.lastEnd
    );
    if (runner !== undefined) {
      runner.crash();
      await delay(DOWN_MS);
      await runner.start();
      return;
    }
    await delay(10);
  }
}

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
      max_attempts: 4,
      stretch: 2,
      public: false,
    }],
    services: [{ name: "ovens", rejects_overload: false, spare: false }],
    tenants: [{ name: "shop", api_keys: [KEY], weight: 50, cap: {} }],
  });
  await bench.addRunners(RUNNERS, { service: "ovens", cpu: 16_000 });
  await bench.addNodes(4);
  let isOver = false;
  const traffic = (async () => {
    while (!isOver) {
      void bench.submit({
        id: newId(),
        prefix: PREFIX,
        key: KEY,
        body: {
          spec: JSON.stringify({ run: TASK_MS }),
          steps: [{
            count: 8,
            cpu: 2_000,
            mem_mb: 100,
            estimate_ms: TASK_MS,
          }],
        },
      });
      await delay(200);
    }
  })();
  await delay(2_000);
  for (let window = 0; window < WINDOWS; window++) {
    if (TROUBLE) {
      bench.store.slow = SLOW;
      bench.note("store-slow");
      const endMs = now() + SLOW_MS;
      await delay(500);
      for (let crash = 0; crash < CRASHES; crash++) {
        await crashIdle(bench, endMs - 500);
        await delay(300);
      }
      await delay(endMs - now());
      bench.store.slow = 1;
      bench.note("store-healed");
    } else {
      await delay(SLOW_MS);
    }
    await delay(3_000);
  }
  isOver = true;
  await traffic;
  await delay(3_000);
  const twice = findTwice(bench);
  return {
    broken: twice.length > 0,
    starts: bench.starts.length,
    done: bench.ends.filter(({ how }) => how === "done").length,
    crashed: bench.ends.filter(({ how }) => how === "crash").length,
    twice: twice.slice(0, 10),
  };
});

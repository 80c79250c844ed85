// Fault: crowds of clients send submissions ahead and read no answer. A process
// that exceeds the memory of its machine is ended, as on the platform, and starts
// again. Exit codes as in runCase.
import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { delay, HOST, newId, now, runCase } from "./harness.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const MEMORY_MB = 350; // limits.memory_mb in the settings
const CLIENTS = 50; // at each node
const CROWD_MS = 40_000;
const MIN_MACHINES = 2;
const MIN_ENDS = 3; // on each of them
const CALM_MS = 4_000;
const PREFIX = "/orders/";
const KEY = "key-shop";
const CROWD_KEY = "key-outside";

function memoryMb(pid) {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Math.round(Number(/VmRSS:\s+(\d+)/.exec(status)[1]) / 1_024);
  } catch {
    return 0; // It has ended.
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
    tenants: [
      { name: "shop", api_keys: [KEY], weight: 50, cap: {} },
      { name: "outside", api_keys: [CROWD_KEY], weight: 10, cap: {} },
    ],
  });
  await bench.addRunners(8, { service: "ovens", cpu: 16_000 });
  await bench.addNodes(3);
  const highest = bench.nodes.map(() => 0);
  const ends = bench.nodes.map(() => 0);
  const over = new Set();
  const sampling = setInterval(() => {
    bench.nodes.forEach((node, index) => {
      const { pid } = node.child;
      const memory = memoryMb(pid);
      highest[index] = Math.max(highest[index], memory);
      if (memory > MEMORY_MB && !over.has(pid)) {
        over.add(pid);
        ends[index]++;
        bench.note("over-memory", { node: node.name, memory });
        bench.kill(node);
      }
    });
  }, 50);
  let asked = 0;
  const ask = async () => {
    const node = bench.nodes[asked++ % bench.nodes.length];
    bench.agent.destroy();
    const id = newId();
    const { status } = await bench.call(node, {
      method: "POST",
      path: PREFIX + id,
      body: {
        spec: JSON.stringify({ run: 100 }),
        steps: [{ count: 1, cpu: 500, mem_mb: 10, estimate_ms: 100 }],
      },
      key: KEY,
    });
    bench.note("submit", { id, node: node.name, status });
    return status;
  };
  await delay(2_000);
  const crowds = [];
  if (TROUBLE) {
    for (const { host, front } of bench.nodes) {
      crowds.push(spawn(process.execPath, [
        fileURLToPath(new URL("crowd.mjs", import.meta.url)),
        host,
        String(front),
        CROWD_KEY,
        String(CLIENTS),
      ], { stdio: ["pipe", "inherit", "inherit"] }));
    }
    bench.note("crowds", { clients: CLIENTS });
  }
  const during = [];
  for (const endMs = now() + CROWD_MS; now() < endMs;) {
    during.push(await ask());
    await delay(500);
  }
  crowds.forEach((crowd) => crowd.kill("SIGKILL"));
  await delay(CALM_MS);
  const after = [await ask(), await ask(), await ask()];
  clearInterval(sampling);
  return {
    broken: ends.filter((count) => count >= MIN_ENDS).length >= MIN_MACHINES,
    limit: MEMORY_MB,
    highest,
    ends,
    during,
    after,
  };
});

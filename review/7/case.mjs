// One client hands in a schedule all of whose times have passed; the
// submissions of another tenant are to be served all the same.
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { EXIT, hasTrouble, newId, System } from "../standin-2/system.mjs";

const PLANS = "/plans/";
const ORDERS = "/orders/";
const PLAN_KEY = "key-of-team-plans";
const ORDER_KEY = "key-of-team-orders";
const ORDER_EVERY_MS = 500;
const BEFORE_MS = 4_000;
const TRAFFIC_MS = 24_000;
const FINISH_MS = 14_000;
const IDLE_MS = 3_000;
/** Tasks of an order. */
const TASKS = 2;
/** The script asks no more after this. */
const LAST_ASK_MS = 100_000;
const TIMES = 10_080;

const system = new System(fileURLToPath(new URL(".", import.meta.url)));
await system.start({
  nodes: 3,
  runners: 8,
  cpu: 64_000,
  desired: {
    routes: [
      { path_prefix: ORDERS, priority: 0 },
      { path_prefix: PLANS, priority: 2 },
    ],
    tenants: [
      { name: "team-orders", api_keys: [ORDER_KEY] },
      { name: "team-plans", api_keys: [PLAN_KEY], cap: { cpu: 64_000, mem_mb: 65_536, gpu: 0 } },
    ],
  },
});

const accepted = [];
const pending = [];
async function sendOrder(number) {
  const id = newId();
  const isAccepted = await system.submit({
    path: ORDERS + id,
    key: ORDER_KEY,
    body: {
      spec: "run=800",
      steps: [{ count: TASKS, cpu: 1_000, mem_mb: 256, estimate_ms: 800 }],
    },
  });
  if (isAccepted) {
    accepted.push({ id, number, atMs: system.now() });
  }
}

const startMs = system.now();
let isSent = false;
for (let number = 0; system.now() - startMs < TRAFFIC_MS; number++) {
  if (hasTrouble && !isSent && system.now() - startMs > BEFORE_MS) {
    isSent = true;
    pending.push(system.submit({
      path: PLANS + newId(),
      key: PLAN_KEY,
      body: {
        spec: "run=20",
        steps: [{ count: 1, cpu: 1_000, mem_mb: 64, estimate_ms: 20 }],
        repeat_count: TIMES,
        interval_ms: 60_000,
        start_time_ms: Date.now() - TIMES * 60_000,
      },
    }));
  }
  pending.push(sendOrder(number));
  await delay(ORDER_EVERY_MS);
}
await Promise.all(pending);
system.record(`end of the traffic, ${accepted.length} orders accepted`);
await delay(FINISH_MS);

/**
 * Returns whether the order has a task that isn't done, and none has run for
 * some time. All tenants together may use an eighth of the fleet and a little.
 */
function isIdle(id) {
  const events = system.events.filter(({ task }) => task?.startsWith(id));
  const done = new Set(events.filter(({ how }) => how === "done").map(({ task }) => task));
  const starts = events.filter(({ event }) => event === "start");
  const ends = events.filter(({ event }) => event === "end");
  const lastMs = Math.max(0, ...events.map(({ atMs }) => atMs));
  return done.size < TASKS && starts.length === ends.length &&
    system.now() - lastMs > IDLE_MS;
}

const problems = [];
let asked = 0;
for (const { id } of accepted) {
  const node = system.nodes[asked++ % system.nodes.length];
  const { status, value, tookMs } = await system.call(node, {
    method: "GET",
    path: ORDERS + id,
    key: ORDER_KEY,
  });
  if (status !== 200) {
    problems.push(`LOST: no answer for ${id} in time: ${status} after ${tookMs} ms`);
  } else if (value.state !== "completed" && isIdle(id)) {
    problems.push(`LOST: ${id} is ${value.state} and has had nothing running for ${IDLE_MS} ms`);
  }
  if (system.now() > LAST_ASK_MS) {
    break;
  }
}
problems.forEach((problem) => system.record(problem));
system.record(`${problems.length} of ${accepted.length} accepted orders break LOST, ${asked} asked for`);
await system.finish(problems.length > 0 ? EXIT.broken : EXIT.held);

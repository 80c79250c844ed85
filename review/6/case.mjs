// All nodes lose power for a second while the tasks of a scheduled submission
// run. What has ended as done must not start again.
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { EXIT, hasTrouble, newId, System } from "../standin-2/system.mjs";

const PREFIX = "/plans/";
const KEY = "key-of-team-a";
const NODES = 12;
const RUNNERS = 8;
const SETTLE_MS = 6_000;
const SUBMISSIONS = 3;
const TIMES = 20;
const INTERVAL_MS = 500;
const BEFORE_MS = 5_000;
/** `herd_kill` with `power` on all machines that carry traffic: 9.5 s at most. */
const DOWN_MS = 1_000;
/** All machines start within 0.3 s of each other, in any order. */
const START_SPREAD_MS = 290;
const AFTER_MS = 25_000;

const system = new System(fileURLToPath(new URL(".", import.meta.url)));
await system.start({
  nodes: NODES,
  runners: RUNNERS,
  desired: {
    routes: [{ path_prefix: PREFIX, max_attempts: 3 }],
    tenants: [{ name: "team-a", api_keys: [KEY] }],
  },
});
await delay(SETTLE_MS);
const ids = [];
for (let number = 0; number < SUBMISSIONS; number++) {
  const id = newId();
  const isAccepted = await system.submit({
    path: PREFIX + id,
    key: KEY,
    body: {
      spec: "run=900",
      steps: [{ count: 2, cpu: 1_000, mem_mb: 256, estimate_ms: 900 }],
      repeat_count: TIMES,
      interval_ms: INTERVAL_MS,
      start_time_ms: Date.now() + 1_000,
    },
  });
  if (!isAccepted) {
    await system.finish(EXIT.notRun);
  }
  ids.push(id);
}
await delay(BEFORE_MS);
if (hasTrouble) {
  // The nodes that keep a copy of the records, of which one schedules, have power
  // again after the others. (Twelve starts at once would share the processors of
  // one machine here, which spreads them by more than the pages allow.)
  const copies = system.nodes.filter((node) =>
    system.logOf(node).some(({ message }) => message === "Keeping a copy of all records")
  );
  for (const node of system.nodes) {
    system.powerOff(node, DOWN_MS + (copies.includes(node) ? START_SPREAD_MS : 0));
  }
}
await delay(AFTER_MS);

const { events } = system;
/** Returns whether the runner's lease lapsed in a span of time. */
const hasLapsed = (runner, fromMs, toMs) =>
  events.some((e) =>
    e.runner === runner && e.event === "lapse" && e.atMs >= fromMs && e.atMs <= toMs
  );
const problems = [];
const done = events.filter(({ event, how }) => event === "end" && how === "done");
for (const { runner, task, run, atMs } of done) {
  const noted = events.find((e) =>
    e.event === "noted" && e.runner === runner && e.task === task && e.run === run
  );
  const again = events.find((e) => e.event === "start" && e.task === task && e.atMs > atMs);
  if (again !== undefined && noted !== undefined && !hasLapsed(runner, atMs, noted.atMs)) {
    problems.push(
      `TWICE: ${task} run ${run} ended done at ${atMs} ms on ${runner}, taken note of at ` +
        `${noted.atMs} ms, and run ${again.run} started at ${again.atMs} ms on ${again.runner}`,
    );
  }
}
const expected = SUBMISSIONS * TIMES * 2;
const tasks = new Set(done.map(({ task }) => task)).size;
system.record(`${tasks} of ${expected} tasks have ended done, ${done.length} runs`);
problems.forEach((problem) => system.record(problem));
system.record(`${problems.length} starts break TWICE`);
if (tasks < expected / 2) {
  await system.finish(EXIT.notRun);
}
await system.finish(problems.length > 0 ? EXIT.broken : EXIT.held);

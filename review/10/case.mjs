// One runner turns all starts away while it says that it is healthy. How many
// submissions wait that only it may run?
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { EXIT, hasTrouble, newId, System } from "../standin-2/system.mjs";

const PREFIX = "/plans/";
const KEY = "key-of-team-a";
const LABEL = "b";
/** One of them turns starts away: 0.083 of the service. */
const RUNNERS = 12;
const BUSY_MS = 6_500;
const SUBMISSIONS = 20;
const ASK_MS = 8_000;
const ASK_EVERY_MS = 100;
/** `visible_ms` and 2 s. */
const VISIBLE_MS = 3_000 + 2_000;

const system = new System(fileURLToPath(new URL(".", import.meta.url)));
await system.start({
  nodes: 3,
  runners: RUNNERS,
  kinds: Array.from({ length: RUNNERS }, (_, index) => index === RUNNERS - 1 ? LABEL : "a"),
  desired: {
    routes: [{ path_prefix: PREFIX }],
    tenants: [{ name: "team-a", api_keys: [KEY] }],
  },
});
await delay(5_000);
if (hasTrouble) {
  system.makeBusy(`i-${RUNNERS - 1}`, BUSY_MS);
}
const accepted = new Map();
for (let number = 0; number < SUBMISSIONS; number++) {
  const id = newId();
  const { status } = await system.call(system.nodes[number % 3], {
    method: "POST",
    path: PREFIX + id,
    key: KEY,
    body: {
      spec: "run=500",
      steps: [{ count: 1, cpu: 500, mem_mb: 256, estimate_ms: 500, requires: LABEL }],
    },
  });
  if (status === 200) {
    accepted.set(id, system.now());
  }
}
const begun = () =>
  new Set(
    system.events.filter(({ event }) => event === "start").map(({ task }) => task.split(".")[0]),
  );
const problems = [];
const endMs = system.now() + ASK_MS;
while (system.now() < endMs) {
  for (const node of system.nodes) {
    const sentMs = system.now();
    const { status, value } = await system.call(node, {
      method: "GET",
      path: PREFIX,
      key: KEY,
      quiet: true,
    });
    const started = begun();
    const owed = [...accepted].filter(([id, atMs]) =>
      atMs < sentMs - VISIBLE_MS && !started.has(id)
    ).length;
    const isBroken = status === 200 && value.waiting < owed / 2;
    system.record(
      `GET ${PREFIX} at ${node.name}: ${status} ${JSON.stringify(value)}; accepted over ` +
        `${VISIBLE_MS} ms before and not begun: ${owed}${isBroken ? " -- MIXED" : ""}`,
    );
    if (isBroken) {
      problems.push(`MIXED: ${node.name} gives ${value.waiting} as waiting, ${owed} are`);
    }
  }
  await delay(ASK_EVERY_MS);
}
system.record(`${begun().size} of ${accepted.size} submissions have begun`);
system.record(`${problems.length} answers break MIXED${problems.length > 0 ? "; the first: " + problems[0] : ""}`);
await system.finish(problems.length > 0 ? EXIT.broken : EXIT.held);

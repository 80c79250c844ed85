// Kills the machines that keep a copy of the records; the others go on, accept
// submissions and are asked how many wait.
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { EXIT, hasTrouble, newId, System } from "../standin-2/system.mjs";

const PREFIX = "/plans/";
const KEY = "key-of-team-a";
const NODES = 6;
const KILLED = 4;
/** `herd_kill` with `power`: for_s 9.5 at most. */
const DOWN_MS = 9_500;
const SETTLE_MS = 8_000;
const SUBMISSIONS = 20;
const ASK_MS = 14_000;
const ASK_EVERY_MS = 100;
const FINISH_MS = 14_000;
/** `visible_ms` and 2 s. */
const VISIBLE_MS = 3_000 + 2_000;

const system = new System(fileURLToPath(new URL(".", import.meta.url)));
await system.start({
  nodes: NODES,
  runners: 8,
  desired: {
    routes: [{ path_prefix: PREFIX }],
    tenants: [{ name: "team-a", api_keys: [KEY] }],
  },
});
await delay(SETTLE_MS);
const copies = system.nodes.filter((node) =>
  system.logOf(node).some(({ message }) => message === "Keeping a copy of all records")
);
const killed = copies.slice(0, KILLED);
const others = system.nodes.filter((node) => !killed.includes(node));
if (killed.length !== KILLED) {
  system.record(`${copies.length} nodes keep a copy`);
  await system.finish(EXIT.notRun);
}
if (hasTrouble) {
  killed.forEach((node) => system.powerOff(node, DOWN_MS));
}

const accepted = new Map();
for (let number = 0; number < SUBMISSIONS; number++) {
  const id = newId();
  const { status } = await system.call(others[number % others.length], {
    method: "POST",
    path: PREFIX + id,
    key: KEY,
    body: {
      spec: "run=500",
      steps: [{ count: 1, cpu: 1_000, mem_mb: 256, estimate_ms: 500 }],
    },
  });
  if (status === 200) {
    accepted.set(id, system.now());
  }
}
if (accepted.size < SUBMISSIONS / 2) {
  system.record(`only ${accepted.size} submissions were accepted`);
  await system.finish(EXIT.notRun);
}

const begun = () =>
  new Set(
    system.events.filter(({ event }) => event === "start").map(({ task }) => task.split(".")[0]),
  );
const problems = [];
const endMs = system.now() + ASK_MS;
while (system.now() < endMs) {
  for (const node of others) {
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
await delay(hasTrouble ? FINISH_MS : 0);
system.record(`${begun().size} of ${accepted.size} submissions have begun`);
system.record(`${problems.length} answers break MIXED${problems.length > 0 ? "; the first: " + problems[0] : ""}`);
await system.finish(problems.length > 0 ? EXIT.broken : EXIT.held);

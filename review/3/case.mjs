// An idle runner crashes and is back at once under its id. A submission comes
// just then.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { desiredState, Exit, Lab, sleep } from "../standin/lab.mjs";
import { findOverlaps, findRunsAfterDone } from "../standin/checks.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
/** One of eight crashes at a time: a share of 0.125. */
const RUNNERS = 8;
const ROUNDS = 16;
const DOWN_MS = 250;
const RUN_MS = 1_200;

const lab = new Lab(dirname(fileURLToPath(import.meta.url)));
await lab.startStore();
await lab.lab({
  put: ["op", "config", desiredState(1, {
    routes: [{ name: "r-order", path_prefix: "/order/", service: "ovens",
      priority: 0, target_latency_ms: 250 }],
    services: ["ovens"],
    tenants: [{ name: "shop", api_keys: ["key-1"] }],
  })],
});
const groups = [];
for (let index = 0; index < RUNNERS; index++) {
  groups.push(await lab.startRunners(`oven-${index}`, { service: "ovens",
    zone: lab.zones[index % 3], cpu: 64_000, memMb: 262_144, count: 1 }));
}
await lab.startNodes(3);
await lab.waitReady();
await lab.waitFor("an owner of the domain", () => lab.owner !== undefined);
await sleep(2_500);

const client = { host: "jobs.example", key: "key-1", prefix: "/order/" };
for (let round = 0; round < ROUNDS; round++) {
  // The runners are idle: nothing of the rounds before is under way.
  await sleep(600 + Math.random() * 1_000);
  if (TROUBLE) {
    const group = groups[Math.floor(Math.random() * RUNNERS)];
    lab.killRunners(group);
    await sleep(DOWN_MS);
    await lab.restartRunners(group);
  }
  const id = (0xc000 + round).toString(16).padStart(16, "0");
  const { status } = await lab.submit({ ...client, id, spec: `run=${RUN_MS}`,
    steps: [{ count: RUNNERS - 1, cpu: 8_000, mem_mb: 64, estimate_ms: RUN_MS,
      anti_affinity: 1 }] });
  const begin = lab.seconds;
  await lab.waitFor(`submission ${id} to be completed`, async () => {
    await sleep(50);
    return (await lab.call(lab.nodes[0], { ...client, method: "GET",
      path: client.prefix + id })).body?.state === "completed";
  }, 15_000).catch((error) => lab.note(error.message));
  lab.note(`round ${round}: accepted with ${status}, completed after ${
    (lab.seconds - begin).toFixed(1)
  } s`);
  if (lab.seconds > 95) {
    break;
  }
}
const together = findOverlaps(lab);
const again = findRunsAfterDone(lab);
lab.note(`TWICE: ${together.length} times two runs of a task at the same time, ${again.length} starts after a run has ended \`done\``);
[...together, ...again].slice(0, 8).forEach((line) => lab.note(line));
await lab.close(together.length + again.length > 0 ? Exit.Broken : Exit.Held);

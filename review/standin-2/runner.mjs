// Stand-in of one runner. Usage: runner.mjs OPTIONS (JSON). What its tasks do
// stands in their spec: "run=900" (work in ms), "fail=N" (runs whose number
// modulo 1000 is at most N fail) and "gang=N" (a gang of N). The members of a
// gang learn of each other by lines on standard input.
// Follows PROTOCOL.md: leases by its own clock, fencing tokens, ends.
import { createServer } from "node:http";
import { createInterface } from "node:readline";

const { id, store, service, zone, address, capacity, labels } = JSON.parse(
  process.argv[2],
);
const MAX_LEASE_MS = 10_000;
const MAX_WAIT_MS = 2_000;
const STOP_MS = 100;
const GANG_MS = 3_000;
const BEAT_MS = 1_500;
const ENDS_PER_LIST = 500;
const TICK_MS = 10;

const born = Date.now();
const bootMs = performance.now();
const clock = () => Math.floor(performance.now() - bootMs);
const running = new Map();
const over = new Map();
let ended = [];
let lastEnd = 0;
let token = 0;
let deadlineMs = 0;
let hasLapsed = true;
let beats = 0;
let busyUntilMs = 0;
const waiting = new Set();

const report = (event) =>
  process.stdout.write(JSON.stringify({ runner: id, ...event }) + "\n");

function end(task, how) {
  const { run } = running.get(task);
  running.delete(task);
  over.set(task, Math.max(over.get(task) ?? 0, run));
  ended.push([++lastEnd, task, run, how, ""]);
  report({ event: "end", task, run, how });
  [...waiting].forEach((wake) => wake());
}

function tick() {
  const atMs = clock();
  if (atMs >= deadlineMs && !hasLapsed) {
    report({ event: "lapse" });
  }
  hasLapsed = atMs >= deadlineMs;
  for (const [task, { endMs, stopMs, aloneMs, fails }] of [...running]) {
    const over = Math.min(endMs, stopMs, aloneMs, deadlineMs);
    if (over === aloneMs && atMs >= over) {
      end(task, "alone");
      continue;
    }
    if (atMs >= over) {
      end(
        task,
        over === endMs
          ? fails ? "failed" : "done"
          : over === stopMs
          ? "stopped"
          : "lapsed",
      );
    }
  }
}

function takeDeadline({ deadline_ms }) {
  if (deadline_ms !== undefined) {
    deadlineMs = Math.max(deadlineMs, Math.min(deadline_ms, clock() + MAX_LEASE_MS));
  }
}

function start(body) {
  if (clock() < busyUntilMs) {
    report({ event: "503", task: body.task, run: body.run });
    return [503, {}];
  }
  const { task, run, spec } = body;
  const here = running.get(task);
  takeDeadline(body);
  if (here?.run === run) {
    return [200, {}];
  }
  if (here !== undefined || run <= (over.get(task) ?? 0)) {
    return [409, { reason: "old" }];
  }
  if (deadlineMs <= clock()) {
    return [409, { reason: "late" }];
  }
  const plan = new URLSearchParams(String(spec).replaceAll(" ", "&"));
  const isGang = plan.has("gang");
  const workMs = Number(plan.get("run") ?? 1e12);
  running.set(task, {
    run,
    workMs,
    endMs: isGang ? Infinity : clock() + workMs,
    aloneMs: isGang ? clock() + GANG_MS : Infinity,
    stopMs: Infinity,
    fails: run % 1_000 <= Number(plan.get("fail") ?? 0),
    startMs: clock(),
  });
  report({
    event: "start",
    task,
    run,
    token: body.fence_token,
    gang: Number(plan.get("gang") ?? 0),
  });
  return [200, {}];
}

function stop({ task, run }) {
  const here = running.get(task);
  if (here?.run === run) {
    here.stopMs = Math.min(here.stopMs, clock() + STOP_MS);
  } else {
    over.set(task, Math.max(over.get(task) ?? 0, run));
  }
  return [200, {}];
}

async function hold(body) {
  takeDeadline(body);
  const observed = body.observed ?? 0;
  for (const [number, task, run, how] of ended) {
    if (number <= observed) {
      report({ event: "noted", task, run, how });
    }
  }
  ended = ended.filter(([number]) => number > observed);
  const waitMs = Math.min(body.wait_ms ?? 0, MAX_WAIT_MS);
  if (waitMs > 0 && ended.length === 0) {
    await new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      waiting.add(wake);
    });
  }
  return [200, {
    born,
    running: [...running].map(([task, { run, startMs, endMs }]) => [
      task,
      run,
      "",
      Math.min(100, Math.floor(100 * (clock() - startMs) / (endMs - startMs))),
      0,
    ]),
    ended: ended.slice(0, ENDS_PER_LIST),
  }];
}

async function handle(req, body) {
  tick();
  if (req.url === "/healthz") {
    return [200, {}];
  }
  const expected = req.headers["x-mustardweir-expected-instance"];
  if (expected !== undefined && expected !== id) {
    return [421, {}];
  }
  if ((body.fence_token ?? 0) < token) {
    return [409, { reason: "fence" }];
  }
  token = body.fence_token ?? 0;
  switch (req.url) {
    case "/run-start":
      return start(body);
    case "/run-stop":
      return stop(body);
    case "/hold":
      return await hold(body);
    default:
      return [400, {}];
  }
}

async function beat() {
  const entry = {
    service,
    address,
    zone,
    version: "v1",
    slots: 8,
    state: "ready",
    cold_left_ms: 0,
    capacity,
    labels,
    call_seq: ++beats,
    born,
  };
  await fetch(`http://${store}/standin/put`, {
    method: "POST",
    body: JSON.stringify({
      table: "servers",
      key: id,
      value: Buffer.from(JSON.stringify(entry)).toString("base64"),
    }),
  }).catch(() => undefined);
}

const [host, port] = address.split(":");
createServer(async (req, res) => {
  try {
    const chunks = [];
    for await (const chunk of req) {
      chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString();
    const [status, body] = await handle(req, text === "" ? {} : JSON.parse(text));
    const sent = JSON.stringify({ clock_ms: clock(), ...body });
    res.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(sent),
      "x-mustardweir-instance-id": id,
    });
    res.end(sent);
  } catch {
    res.destroy();
  }
}).listen(Number(port), host, () => {
  report({ event: "listening", born });
  void beat();
});
setInterval(tick, TICK_MS);
setInterval(() => void beat(), BEAT_MS);

/** Tells a member that its gang is complete, or that another member ended. */
function handleGang({ task, run, isComplete, busyMs }) {
  if (busyMs !== undefined) {
    busyUntilMs = clock() + busyMs;
    return;
  }
  const here = running.get(task);
  if (here?.run !== run) {
    return;
  }
  if (isComplete) {
    here.aloneMs = Infinity;
    here.endMs = clock() + here.workMs;
  } else {
    end(task, "broken");
  }
}

createInterface({ input: process.stdin })
  .on("line", (line) => handleGang(JSON.parse(line)))
  .on("close", () => process.exit());

// Stand-in of runners (PROTOCOL.md, "Running tasks" and "Service discovery").
// Usage: node runners.mjs JSON with
//   { store, service, zone, host, cpu, memMb, runners: [{ id, port, rack }] }
// One process holds some runners, each with a listener of its own. What a task
// does stands in its spec: "run=2000 fail=1 save=1": it runs for 2,000 ms, ends
// `failed` and saves its progress each second. "run=2000-9000" lets each task of
// the submission run for another time in that range.
import { createServer } from "node:http";
import { request } from "node:http";
import { emit, endWithParent, nowMs, readText, sendJson } from "./events.mjs";

const options = JSON.parse(process.argv[2]);
const HOLD_MAX_MS = 10_000;
const STOP_MS = 100;
const SAVE_MS = 1_000;
const RESTORE_MS = 100;
const HEARTBEAT_MS = options.heartbeatMs ?? 1_500;
const ENDS_PER_LIST = 500;
const MAX_WAIT_MS = 2_000;
const TICK_MS = 10;

function durationOf(text, task) {
  const [least, most = least] = text.split("-").map(Number);
  let hash = 2_166_136_261;
  for (const char of task) {
    hash = Math.imul(hash ^ char.charCodeAt(0), 16_777_619) >>> 0;
  }
  return least + (most - least) * (hash % 10_007) / 10_007;
}

class Runner {
  running = new Map();
  ended = [];
  lastEnd = 0;
  /** Highest run of each task that was stopped or has ended here. */
  over = new Map();
  fence = 0;
  deadlineMs = 0;
  lapsedMs = 0;
  seq = 0;
  born = Date.now();
  bootMs = nowMs();
  waiters = new Set();

  constructor({ id, port, rack }) {
    Object.assign(this, { id, port, rack, address: `${options.host}:${port}` });
  }

  get clockMs() {
    return Math.floor(nowMs() - this.bootMs) + 1_000;
  }

  extend(deadlineMs) {
    if (typeof deadlineMs === "number") {
      this.deadlineMs = Math.max(
        this.deadlineMs,
        Math.min(deadlineMs, this.clockMs + HOLD_MAX_MS),
      );
    }
  }

  start({ task, run, spec, deadline_ms, saved = "" }) {
    this.extend(deadline_ms);
    const here = this.running.get(task);
    if (here?.run === run) {
      return [200, {}];
    }
    if (run <= (this.over.get(task) ?? 0) || here !== undefined) {
      return [409, { reason: "old" }];
    }
    if (this.deadlineMs <= this.clockMs) {
      return [409, { reason: "late" }];
    }
    const plan = Object.fromEntries(
      spec.split(" ").map((word) => word.split("=")),
    );
    const done = saved === "" ? 0 : Number.parseInt(saved.slice(0, 8), 16);
    this.running.set(task, {
      run,
      plan,
      saved,
      doneMs: done,
      runMs: durationOf(plan.run, task),
      startedMs: nowMs() + (saved === "" ? 0 : RESTORE_MS),
      savedMs: done,
      stopAtMs: Infinity,
    });
    emit({ kind: "start", runner: this.id, task, run, saved });
    return [200, {}];
  }

  stop({ task, run }) {
    const here = this.running.get(task);
    if (here?.run === run) {
      here.stopAtMs = Math.min(here.stopAtMs, nowMs() + STOP_MS);
    } else {
      this.over.set(task, Math.max(this.over.get(task) ?? 0, run));
    }
    return [200, {}];
  }

  workedMs(attempt) {
    return attempt.doneMs + Math.max(0, nowMs() - attempt.startedMs);
  }

  save(task, attempt) {
    const worked = Math.floor(this.workedMs(attempt));
    attempt.savedMs = worked;
    // As on the page: sixteen hexadecimal digits.
    attempt.saved = worked.toString(16).padStart(8, "0") +
      task.slice(0, 8).padEnd(8, "0");
  }

  end(task, how) {
    const attempt = this.running.get(task);
    if (attempt.plan.save === "1" && how === "stopped") {
      this.save(task, attempt);
    }
    this.running.delete(task);
    this.over.set(task, Math.max(this.over.get(task) ?? 0, attempt.run));
    const saved = how === "done" ? "" : attempt.saved;
    this.ended.push([++this.lastEnd, task, attempt.run, how, saved]);
    emit({ kind: "end", runner: this.id, task, run: attempt.run, how,
      number: this.lastEnd });
    this.wake();
  }

  wake() {
    for (const waiter of [...this.waiters]) {
      waiter();
    }
  }

  tick() {
    const lapsed = this.clockMs >= this.deadlineMs;
    if (lapsed && this.lapsedMs !== this.deadlineMs && this.deadlineMs > 0) {
      this.lapsedMs = this.deadlineMs;
      emit({ kind: "lapse", runner: this.id, running: this.running.size });
    }
    for (const [task, attempt] of [...this.running]) {
      const worked = this.workedMs(attempt);
      if (lapsed) {
        this.end(task, "lapsed");
      } else if (nowMs() >= attempt.stopAtMs) {
        this.end(task, "stopped");
      } else if (worked >= attempt.runMs) {
        this.end(task, attempt.plan.fail === "1" ? "failed" : "done");
      } else if (
        attempt.plan.save === "1" && worked - attempt.savedMs >= SAVE_MS
      ) {
        this.save(task, attempt);
      }
    }
  }

  list() {
    const running = [...this.running].map(([task, attempt]) => {
      const percent = Math.floor(
        100 * Math.min(1, this.workedMs(attempt) / attempt.runMs),
      );
      return [task, attempt.run, attempt.saved, percent, 0];
    });
    return { born: this.born, running,
      ended: this.ended.slice(0, ENDS_PER_LIST) };
  }

  async hold({ deadline_ms, observed = 0, wait_ms = 0 }) {
    this.extend(deadline_ms);
    const noted = this.ended.filter(([number]) => number <= observed);
    for (const [number, task, run, how] of noted) {
      emit({ kind: "noted", runner: this.id, task, run, how, number });
    }
    this.ended = this.ended.filter(([number]) => number > observed);
    const waitMs = Math.min(wait_ms, MAX_WAIT_MS);
    if (waitMs > 0 && this.ended.length === 0) {
      await new Promise((resolve) => {
        const waiter = () => {
          clearTimeout(timer);
          this.waiters.delete(waiter);
          resolve();
        };
        const timer = setTimeout(waiter, waitMs);
        this.waiters.add(waiter);
      });
    }
    return [200, this.list()];
  }

  async handle(req, res) {
    const body = JSON.parse((await readText(req)) || "{}");
    const expected = req.headers["x-mustardweir-expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      sendJson(res, 421, { clock_ms: this.clockMs });
      return;
    }
    const token = body.fence_token ?? 0;
    if (token < this.fence) {
      emit({ kind: "fenced", runner: this.id, path: req.url, token });
      sendJson(res, 409, { clock_ms: this.clockMs, reason: "fence" });
      return;
    }
    this.fence = token;
    const [status, answer] = await this.#act(req.url, body);
    sendJson(res, status, { clock_ms: this.clockMs, ...answer });
  }

  #act(path, body) {
    switch (path) {
      case "/run-start":
        return this.start(body);
      case "/run-stop":
        return this.stop(body);
      case "/hold":
        return this.hold(body);
      default:
        return [404, {}];
    }
  }

  register() {
    const { id, address, rack } = this;
    const value = JSON.stringify({
      service: options.service,
      address,
      zone: options.zone,
      version: "v1",
      slots: 8,
      state: "ready",
      cold_left_ms: 0,
      capacity: { cpu: options.cpu, mem_mb: options.memMb, gpu: 0 },
      labels: ["a", rack],
      clock_ms: this.clockMs,
      call_seq: ++this.seq,
      born: this.born,
    });
    const text = JSON.stringify({ put: ["servers", id, value] });
    const [host, port] = options.store.split(":");
    const req = request({ host, port, path: "/lab", method: "POST" }, (res) =>
      res.resume()
    );
    req.on("error", () => {});
    req.end(text);
  }
}

endWithParent();
for (const entry of options.runners) {
  const runner = new Runner(entry);
  createServer((req, res) => {
    runner.handle(req, res).catch((error) => {
      emit({ kind: "runner-error", runner: runner.id, error: String(error) });
      res.destroy();
    });
  }).listen(entry.port, options.host, () => {
    runner.register();
    setInterval(() => runner.register(), HEARTBEAT_MS);
    setInterval(() => runner.tick(), TICK_MS);
    emit({ kind: "up", runner: runner.id });
  });
}

// Stand-ins of the platform's store, of runners and of clients, and the nodes of
// the system as processes. Everything listens on loopback addresses and free
// ports; needs Node.js 20 and no package.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const ROW_BYTES = 65_536;
const HISTORY_MS = 20_000;
const TX_MS = 4;
const HOLD_MAX_MS = 10_000;
const MAX_WAIT_MS = 2_000;
const STOP_MS = 300;
const HEARTBEAT_MS = 1_500;
const RESTART_MS = 300;
const GRACE_MS = 6_000;

export { delay };
export const ZONES = ["zone-a", "zone-b", "zone-c"];
export const HOST = "jobs.example";

/** Steady time in milliseconds. */
export const now = () => performance.now();

function readBody(req) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("error", reject);
    req.on("end", () => {
      const text = Buffer.concat(chunks).toString();
      try {
        resolve(text === "" ? {} : JSON.parse(text));
      } catch (err) {
        reject(err);
      }
    });
  });
}

function sendJson(res, status, body) {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  res.end(text);
}

function freePort(host) {
  return new Promise((resolve, reject) => {
    const server = createTcpServer();
    server.on("error", reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

function listen(server, port, host) {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
}

/** The platform's store. Each node calls it at an address of its own. */
class Store {
  constructor(bench) {
    this.bench = bench;
    this.rows = new Map();
    this.changes = [];
    this.forgotten = 0;
    this.version = 0;
    this.waiting = new Set();
    this.startMs = now();
    /** Factor on the time of each answer. */
    this.slow = 1;
    /** Gates by node name: "open", "silent" or "reset". */
    this.gates = new Map();
    /** Share of the writes that are done and not answered. */
    this.lostShare = 0;
    /** Node that last wrote under a condition on an existing row. */
    this.lastConditional = undefined;
    this.servers = [];
  }

  stamp() {
    return {
      row_version: this.version,
      now_ms: Math.floor(now() - this.startMs),
    };
  }

  static id({ table, part = "", key }) {
    return `${table}\n${part}\n${key}`;
  }

  get(table, key, part = "") {
    const row = this.rows.get(Store.id({ table, part, key }));
    return row && JSON.parse(Buffer.from(row.value, "base64").toString());
  }

  put(table, key, value, part = "") {
    this.apply([{
      table,
      part,
      key,
      value: Buffer.from(JSON.stringify(value)).toString("base64"),
    }], []);
  }

  drop(table, key, part = "") {
    if (this.rows.has(Store.id({ table, part, key }))) {
      this.apply([], [{ table, part, key }]);
    }
  }

  apply(puts, removes) {
    this.version++;
    const changed = [
      ...puts.map((row) => ({ part: "", ...row, row_version: this.version })),
      ...removes.map((row) => ({
        part: "",
        ...row,
        row_version: this.version,
        deleted: true,
      })),
    ];
    for (const row of changed) {
      if (row.deleted) {
        this.rows.delete(Store.id(row));
      } else {
        this.rows.set(Store.id(row), row);
      }
      this.changes.push({ atMs: now(), row });
    }
    const kept = this.changes.findIndex(({ atMs }) =>
      atMs > now() - HISTORY_MS
    );
    if (kept > 0) {
      this.forgotten = this.changes[kept - 1].row.row_version;
      this.changes = this.changes.slice(kept);
    }
    [...this.waiting].forEach((wake) => wake());
  }

  commit(body, node) {
    const { expected = [], puts = [], remove = [] } = body;
    const entries = expected.length + puts.length + remove.length;
    const isTooLarge = puts.some(({ value = "" }) =>
      Buffer.from(value, "base64").length > ROW_BYTES
    );
    if (entries > 100 || isTooLarge) {
      return [400, {}];
    }
    const current = expected.map((row) => this.rows.get(Store.id(row)));
    const holds = expected.every((row, index) =>
      (current[index]?.row_version ?? 0) === row.row_version
    );
    if (!holds) {
      return [412, { rows: current.filter((row) => row !== undefined) }];
    }
    if (expected.some(({ row_version }) => row_version > 0)) {
      this.lastConditional = node;
    }
    this.apply(puts, remove);
    return [200, this.stamp()];
  }

  list(query) {
    const table = query.get("table");
    const part = query.get("part") ?? "";
    const from = query.get("from") ?? "";
    const to = query.get("target");
    const limit = Math.min(Number(query.get("limit") ?? 500), 500);
    const found = [...this.rows.values()].filter((row) =>
      row.table === table && row.part === part && row.key >= from &&
      (to === null || row.key < to)
    ).sort((a, b) => a.key < b.key ? -1 : 1);
    return [200, {
      rows: found.slice(0, limit),
      has_more: found.length > limit,
      ...this.stamp(),
    }];
  }

  async follow(query) {
    const after = Number(query.get("after"));
    const table = query.get("table");
    const newer = () =>
      this.changes.map(({ row }) => row).filter((row) =>
        row.table === table && row.row_version > after
      );
    const endMs = now() + Number(query.get("wait_ms") ?? 0);
    while (newer().length === 0 && now() < endMs) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.max(1, endMs - now()));
        this.waiting.add(wake);
      });
    }
    return after < this.forgotten
      ? [410, {}]
      : [200, { rows: newer(), ...this.stamp() }];
  }

  /** Opens the address at which one node calls the store. */
  async open(node, host) {
    const port = await freePort(host);
    const server = http.createServer((req, res) => {
      this.handle(node, req, res).catch(() => res.destroy());
    });
    server.keepAliveTimeout = 30_000;
    await listen(server, port, host);
    this.servers.push(server);
    this.gates.set(node, "open");
    return `${host}:${port}`;
  }

  async handle(node, req, res) {
    const body = await readBody(req);
    const gate = this.gates.get(node);
    if (gate === "reset") {
      res.destroy();
      return;
    }
    if (gate === "silent") {
      return;
    }
    const url = new URL(req.url, "http://store");
    await delay(TX_MS * this.slow / 2);
    const isCommit = url.pathname === "/rows-tx";
    const [status, answer] = isCommit
      ? this.commit(body, node)
      : url.pathname === "/rows-get"
      ? this.list(url.searchParams)
      : url.pathname === "/rows-feed"
      ? await this.follow(url.searchParams)
      : [404, {}];
    await delay(TX_MS * this.slow / 2);
    if (this.gates.get(node) !== "open") {
      return;
    }
    if (isCommit && Math.random() < this.lostShare) {
      return;
    }
    sendJson(res, status, answer);
  }

  close() {
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }
}

/** A runner. What its tasks do stands in the payload, e.g. `{"run":900}`. */
class Runner {
  constructor(bench, options) {
    this.bench = bench;
    Object.assign(this, options);
    this.isCut = false;
    this.isUp = false;
    this.reset();
  }

  reset() {
    this.running = new Map();
    this.ended = [];
    this.over = new Map();
    this.lastEnd = 0;
    // Number of the last end that was listed, and listed again.
    this.listedEnd = 0;
    this.relistedEnd = 0;
    this.token = 0;
    this.deadlineMs = 0;
    this.waiting = new Set();
    this.sequence = 0;
  }

  get clockMs() {
    return Math.floor(now() - this.bootMs);
  }

  /** Starts a life; it registers after `registerMs`. */
  async start(registerMs = 0) {
    this.reset();
    this.born = Date.now();
    this.bootMs = now();
    this.server = http.createServer((req, res) => {
      this.handle(req, res).catch(() => res.destroy());
    });
    this.server.keepAliveTimeout = 30_000;
    await listen(this.server, this.port, this.host);
    this.isUp = true;
    this.nextBeatMs = now() + registerMs;
    this.bench.note("runner-up", { runner: this.id, born: this.born });
  }

  /** Ends the life at once. */
  crash() {
    this.bench.note("runner-crash", {
      runner: this.id,
      running: [...this.running].map(([task, { run }]) => `${task}#${run}`),
    });
    for (const [task, attempt] of this.running) {
      this.bench.ended(this, task, attempt.run, "crash", now());
    }
    this.isUp = false;
    this.server.close();
    this.server.closeAllConnections();
    this.reset();
  }

  /** Cuts the runner off from all machines and the store, or heals that. */
  setCut(isCut) {
    this.isCut = isCut;
    this.bench.note(isCut ? "runner-cut" : "runner-healed", {
      runner: this.id,
    });
  }

  beat() {
    if (!this.isUp || this.isCut || now() < this.nextBeatMs) {
      return;
    }
    this.nextBeatMs = now() + HEARTBEAT_MS;
    const { born } = this;
    const entry = this.entry();
    const write = () => {
      if (this.isUp && this.born === born) {
        this.bench.store.put("servers", this.id, entry);
      }
    };
    const { slow } = this.bench.store;
    if (slow > 1) {
      setTimeout(write, TX_MS * slow / 2);
    } else {
      write();
    }
  }

  entry() {
    return {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: "v1",
      slots: 8,
      state: this.state ?? "ready",
      cold_left_ms: 0,
      capacity: { cpu: this.cpu, mem_mb: 262_144, gpu: 0 },
      labels: ["a", this.rack],
      clock_ms: this.clockMs,
      call_seq: ++this.sequence,
      born: this.born,
    };
  }

  /** Ends what is over. */
  tick() {
    if (!this.isUp) {
      return;
    }
    this.beat();
    const lapseMs = this.bootMs + this.deadlineMs;
    for (const [task, attempt] of this.running) {
      const endMs = Math.min(
        attempt.startMs + attempt.runMs,
        attempt.stopAtMs,
        lapseMs,
      );
      if (now() >= endMs) {
        const how = endMs === lapseMs
          ? "lapsed"
          : endMs === attempt.stopAtMs
          ? "stopped"
          : attempt.fails
          ? "failed"
          : "done";
        this.running.delete(task);
        this.over.set(
          task,
          Math.max(this.over.get(task) ?? 0, attempt.run),
        );
        this.ended.push([++this.lastEnd, task, attempt.run, how, ""]);
        this.bench.ended(this, task, attempt.run, how, endMs);
        [...this.waiting].forEach((wake) => wake());
      }
    }
  }

  async handle(req, res) {
    const { born } = this;
    const body = await readBody(req);
    const isGone = () => born !== this.born || !this.isUp;
    if (isGone()) {
      res.destroy();
      return;
    }
    if (this.isCut) {
      // Nothing arrives and nothing is answered.
      return;
    }
    this.tick();
    if (req.headers["x-mustardweir-expected-instance"] !== this.id) {
      sendJson(res, 421, { clock_ms: this.clockMs });
      return;
    }
    const token = Number(body.fence_token ?? 0);
    if (token < this.token) {
      sendJson(res, 409, { clock_ms: this.clockMs, reason: "fence" });
      return;
    }
    this.token = token;
    if (body.deadline_ms !== undefined) {
      this.deadlineMs = Math.max(
        this.deadlineMs,
        Math.min(Number(body.deadline_ms), this.clockMs + HOLD_MAX_MS),
      );
    }
    const [status, answer] = await this.execute(req.url, body);
    if (isGone()) {
      res.destroy();
      return;
    }
    if (!this.isCut) {
      sendJson(res, status, { clock_ms: this.clockMs, ...answer });
    }
  }

  execute(path, body) {
    switch (path) {
      case "/run-start":
        return this.startTask(body);
      case "/run-stop":
        return this.stopTask(body);
      case "/hold":
        return this.hold(body);
      default:
        return [404, {}];
    }
  }

  startTask({ task, run, spec, fence_token }) {
    const here = this.running.get(task);
    if (here?.run === run) {
      return [200, {}];
    }
    if (here !== undefined || run <= (this.over.get(task) ?? 0)) {
      return [409, { reason: "old" }];
    }
    if (this.deadlineMs <= this.clockMs) {
      return [409, { reason: "late" }];
    }
    const plan = JSON.parse(spec);
    const attempt = {
      run,
      runMs: plan.run,
      fails: plan.fails === true,
      startMs: now(),
      stopAtMs: Infinity,
    };
    this.running.set(task, attempt);
    this.bench.started(this, task, run, fence_token);
    return [200, {}];
  }

  stopTask({ task, run }) {
    const here = this.running.get(task);
    if (here?.run === run) {
      here.stopAtMs = Math.min(here.stopAtMs, now() + STOP_MS);
    } else {
      this.over.set(task, Math.max(this.over.get(task) ?? 0, run));
    }
    return [200, {}];
  }

  async hold({ observed = 0, wait_ms = 0 }) {
    for (const [number, task, run, how] of this.ended) {
      if (number <= observed) {
        this.bench.noted(this, task, run, how);
      }
    }
    this.ended = this.ended.filter(([number]) => number > observed);
    if (this.ended.length > 0 && this.listedEnd === this.lastEnd) {
      this.relistedEnd = this.lastEnd;
    }
    const waitMs = Math.min(wait_ms, MAX_WAIT_MS);
    if (waitMs > 0 && this.ended.length === 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        this.waiting.add(wake);
      });
    }
    this.listedEnd = this.lastEnd;
    return [200, {
      born: this.born,
      running: [...this.running].map(([task, attempt]) => [
        task,
        attempt.run,
        "",
        Math.min(
          99,
          Math.floor(100 * (now() - attempt.startMs) / attempt.runMs),
        ),
        0,
      ]),
      ended: this.ended.slice(0, 500),
    }];
  }
}

/** A small deployment: store, runners, nodes, and what was seen of them. */
export class Bench {
  constructor(folder, { quiet = false } = {}) {
    this.record = join(folder, "record.txt");
    writeFileSync(this.record, "");
    this.quiet = quiet;
    this.startMs = now();
    const [a, b] = [0, 0].map(() => 1 + Math.floor(Math.random() * 250));
    this.network = `127.${a}.${b}`;
    this.folder = mkdtempSync(join(tmpdir(), "mustardweir-review-"));
    this.store = new Store(this);
    this.runners = [];
    this.nodes = [];
    this.starts = [];
    this.ends = [];
    this.notes = [];
    this.children = new Set();
    this.nodeLog = join(this.folder, "nodes.log");
    this.isClosing = false;
    this.version = 0;
    this.agent = new http.Agent({ keepAlive: true });
    const stop = () => void this.close().finally(() => process.exit(2));
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
  }

  /** Milliseconds since the start of the run. */
  get atMs() {
    return Math.round(now() - this.startMs);
  }

  note(kind, fields = {}) {
    appendFileSync(
      this.record,
      JSON.stringify({ at: this.atMs, kind, ...fields }) + "\n",
    );
  }

  started(runner, task, run, token) {
    this.starts.push({ runner: runner.id, task, run, atMs: now() });
    this.note("start", {
      runner: runner.id,
      task,
      run,
      token,
    });
    this.onStart?.(task);
  }

  ended(runner, task, run, how, atMs) {
    this.ends.push({ runner: runner.id, task, run, how, atMs });
    this.note("end", { runner: runner.id, task, run, how });
  }

  noted(runner, task, run, how) {
    this.notes.push({ runner: runner.id, task, run, how, atMs: now() });
    this.note("noted", { runner: runner.id, task, run, how });
  }

  /** Writes the next desired state. */
  configure({ routes, services, tenants }) {
    this.store.put("op", "config", {
      version: ++this.version,
      routes,
      services,
      tenants,
      limits: {},
    });
    this.note("desired-state", { version: this.version, tenants });
  }

  async addRunners(count, options) {
    for (let index = 0; index < count; index++) {
      const number = this.runners.length;
      const host = `${this.network}.${100 + number}`;
      const runner = new Runner(this, {
        id: `i-${number}`,
        host,
        port: await freePort(host),
        zone: ZONES[number % ZONES.length],
        rack: `r-${Math.floor(number / 5)}`,
        ...options,
      });
      this.runners.push(runner);
      await runner.start();
    }
    this.ticker ??= setInterval(
      () => this.runners.forEach((runner) => runner.tick()),
      10,
    );
  }

  async addNodes(count, lines = []) {
    for (let index = 0; index < count; index++) {
      const host = `${this.network}.${11 + index}`;
      const zone = ZONES[index % ZONES.length];
      const name = `front-${zone}-${index}`;
      const front = await freePort(host);
      const ready = await freePort(host);
      const storeAddress = await this.store.open(
        name,
        `${this.network}.${51 + index}`,
      );
      const settings = join(this.folder, `${name}.conf`);
      const first = 20_000 + Math.floor(Math.random() * 10_000);
      writeFileSync(
        settings,
        [
          `node_name=${name}`,
          "role=node",
          "machine_class=front",
          "serves=front",
          `ip=${host}`,
          `zone=${zone}`,
          "region=region",
          ...ZONES.map((each) => `zones.${each}=region`),
          `listen_addrs.front=${host}:${front}`,
          `listen_addrs.ready=${host}:${ready}`,
          `port_range=${first},${first + 15}`,
          "bootstrap=true",
          "limits.cpu_share=0.675",
          "limits.cpu_cores=1",
          "limits.memory_mb=350",
          "limits.max_fds=4100",
          "limits.link_mbps=1000.0",
          "discovery=platform",
          "entrypoint=vip",
          `heartbeat_ms=${HEARTBEAT_MS}`,
          `bounds.hold_max_ms=${HOLD_MAX_MS}`,
          "bounds.stop_ms=400",
          "bounds.far_x=2",
          "orders=push",
          "advice=",
          `platform.address=${storeAddress}`,
          "platform.form=table",
          "platform.writes_per_s=600",
          "platform.reads_per_s=2000",
          `platform.row_bytes=${ROW_BYTES}`,
          "platform.across=true",
          ...lines,
        ].join("\n") + "\n",
      );
      this.nodes.push({
        name,
        settings,
        host,
        front,
        ready,
        child: undefined,
        restartMs: RESTART_MS,
      });
    }
    this.nodes.forEach((node) => this.startNode(node));
    await this.waitUntil(async () => {
      const ready = await Promise.all(
        this.nodes.map((node) => this.isReady(node)),
      );
      return ready.every(Boolean);
    }, 20_000, "the nodes are ready");
  }

  startNode(node) {
    if (this.isClosing) {
      return;
    }
    const child = spawn(
      process.execPath,
      ["--no-memory-reducer", "target/mustardweir-node.cjs"],
      {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          MUSTARDWEIR_SETTINGS: node.settings,
        },
        stdio: ["ignore", "pipe", "pipe"],
      },
    );
    node.child = child;
    this.children.add(child);
    for (const stream of [child.stdout, child.stderr]) {
      createInterface({ input: stream }).on("line", (line) => {
        appendFileSync(this.nodeLog, `${this.atMs} ${node.name} ${line}\n`);
      });
    }
    this.note("node-up", { node: node.name });
    child.on("exit", (code, signal) => {
      this.children.delete(child);
      this.note("node-end", { node: node.name, code, signal });
      setTimeout(() => this.startNode(node), node.restartMs).unref();
    });
  }

  isReady({ host, ready }) {
    return new Promise((resolve) => {
      const req = http.get(
        { host, port: ready, path: "/readyz", timeout: 500, agent: false },
        (res) => {
          res.resume();
          resolve(res.statusCode === 200);
        },
      );
      req.on("timeout", () => req.destroy());
      req.on("error", () => resolve(false));
    });
  }

  kill(node, signal = "SIGKILL") {
    this.note("signal", { node: node.name, signal });
    node.child?.kill(signal);
    if (signal === "SIGTERM") {
      const { child } = node;
      setTimeout(() => child.kill("SIGKILL"), GRACE_MS).unref();
    }
  }

  /** The node that last wrote to the store under a condition. */
  get leader() {
    return this.nodes.find(({ name }) => name === this.store.lastConditional);
  }

  /** One call of a client; the status is 0 without a complete answer. */
  call(node, { method, path, body, key, timeoutMs = 3_000 }) {
    return new Promise((resolve) => {
      const text = body === undefined ? undefined : JSON.stringify(body);
      const req = http.request({
        host: node.host,
        port: node.front,
        method,
        path,
        agent: this.agent,
        headers: {
          host: HOST,
          "x-mustardweir-key": key,
          "x-mustardweir-timeout-ms": String(timeoutMs),
          ...(text === undefined ? {} : {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(text),
          }),
        },
      });
      const finish = (status, answer) => {
        clearTimeout(timer);
        resolve({ status, answer });
      };
      const timer = setTimeout(() => {
        finish(0, undefined);
        req.destroy();
      }, timeoutMs);
      req.on("error", () => finish(0, undefined));
      req.on("response", (res) => {
        const chunks = [];
        res.on("data", (chunk) => chunks.push(chunk));
        res.on("error", () => finish(0, undefined));
        res.on("end", () => {
          try {
            finish(
              res.statusCode,
              JSON.parse(Buffer.concat(chunks).toString() || "{}"),
            );
          } catch {
            finish(0, undefined);
          }
        });
      });
      req.end(text);
    });
  }

  /** Hands a submission in, with retries at other nodes as clients do. */
  async submit({ id, prefix, key, body, tries = 5 }) {
    for (let attempt = 0; attempt < tries; attempt++) {
      const up = this.nodes.filter(({ child }) =>
        child?.exitCode === null && child?.signalCode === null
      );
      const node = up[Math.floor(Math.random() * up.length)] ?? this.nodes[0];
      const { status } = await this.call(node, {
        method: "POST",
        path: prefix + id,
        body,
        key,
      });
      this.note("submit", { id, node: node.name, status });
      if (status === 200) {
        return true;
      }
      await delay(200);
    }
    return false;
  }

  /** Asks for the state of a submission until a node tells it. */
  async state({ id, prefix, key, tries = 8 }) {
    for (let attempt = 0; attempt < tries; attempt++) {
      const node = this.nodes[Math.floor(Math.random() * this.nodes.length)];
      const { status, answer } = await this.call(node, {
        method: "GET",
        path: prefix + id,
        key,
      });
      if (status === 200 || status === 410) {
        this.note("state", { id, node: node.name, status, ...answer });
        return status === 410 ? "unknown" : answer.state;
      }
      await delay(200);
    }
    this.note("state", { id, status: 0 });
    return undefined;
  }

  async waitUntil(isDone, limitMs, what) {
    const endMs = now() + limitMs;
    while (!await isDone()) {
      if (now() > endMs) {
        throw new Error(`Not within ${limitMs} ms: ${what}`);
      }
      await delay(50);
    }
  }

  async close() {
    this.isClosing = true;
    clearInterval(this.ticker);
    while (this.children.size > 0) {
      for (const child of this.children) {
        child.kill("SIGKILL");
      }
      await delay(20);
    }
    this.store.close();
    for (const runner of this.runners.filter(({ isUp }) => isUp)) {
      runner.server.close();
      runner.server.closeAllConnections();
    }
    this.agent.destroy();
    if (process.env.KEEP_LOG) {
      console.log(`logs of the nodes: ${this.nodeLog}`);
    } else {
      rmSync(this.folder, { recursive: true, force: true });
    }
  }
}

/**
 * Returns what breaks TWICE: starts after an end `done` of the task that was
 * taken note of, and two runs of a task at the same time.
 */
export function findTwice(bench) {
  const found = [];
  const byTask = new Map();
  for (const { runner, task, run, atMs } of bench.starts) {
    const runs = byTask.get(task) ?? [];
    byTask.set(task, runs);
    const end = bench.ends.find((end) =>
      end.task === task && end.run === run && end.runner === runner &&
      end.atMs >= atMs
    );
    const isNoted = end?.how === "done" && bench.notes.some((noted) =>
      noted.task === task && noted.run === run && noted.runner === runner
    );
    for (const other of runs) {
      if (other.isNoted && other.endMs <= atMs) {
        found.push({ why: "after done", task, first: other, second: run });
      } else if (other.endMs > atMs) {
        found.push({ why: "at once", task, first: other, second: run });
      }
    }
    runs.push({ runner, run, atMs, endMs: end?.atMs ?? Infinity, isNoted });
  }
  return found;
}

/** A new id of a submission. */
export function newId() {
  return Array.from({ length: 16 }, () =>
    "0123456789abcdef"[Math.floor(Math.random() * 16)]).join("");
}

/**
 * Runs a case: exits with 1 if the rule was broken, 0 if it held and 2 if the
 * case couldn't run.
 */
export async function runCase(folder, body) {
  const bench = new Bench(folder);
  const limit = setTimeout(() => {
    bench.note("result", { result: "ran for too long" });
    void bench.close().finally(() => process.exit(2));
  }, 110_000);
  let code = 2;
  try {
    const { broken, ...figures } = await body(bench);
    code = broken ? 1 : 0;
    bench.note("result", { broken, ...figures });
    console.log(JSON.stringify({ broken, ...figures }));
  } catch (err) {
    bench.note("result", { error: String(err) });
    console.log(`The case couldn't run: ${err.stack}`);
  }
  clearTimeout(limit);
  await bench.close();
  process.exit(code);
}

// Starts the store, runners and nodes of one run as separate processes on
// loopback addresses, sends calls as a client, and collects what happened.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { nowMs } from "./events.mjs";

const HERE = dirname(fileURLToPath(import.meta.url));
const ROOT = join(HERE, "../..");
const CLIENT_TIMEOUT_MS = 3_000;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Exit codes of a case. */
export const Exit = { Held: 0, Broken: 1, NotRun: 2 };

function freePort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.on("error", reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** One run of a case. */
export class Lab {
  events = [];
  calls = [];
  nodes = [];
  #children = new Set();
  #listeners = new Set();
  #agent = new Agent({ keepAlive: true });
  #startMs = nowMs();
  #net = `127.${1 + Math.floor(Math.random() * 200)}.${
    Math.floor(Math.random() * 250)
  }`;
  #lines = [];

  constructor(folder, { zones = ["zone-a", "zone-b", "zone-c"] } = {}) {
    this.folder = folder;
    this.zones = zones;
    this.record = join(folder, "record.txt");
    this.temp = mkdtempSync(join(tmpdir(), "mustardweir-review-"));
    writeFileSync(this.record, "");
    // Whatever happens, a run ends within 120 seconds and leaves no process.
    setTimeout(() => {
      this.note("the run took too long");
      void this.close(Exit.NotRun);
    }, 115_000).unref();
    process.on("uncaughtException", (error) => {
      this.note(`the case itself failed: ${error.stack}`);
      void this.close(Exit.NotRun);
    });
    process.on("unhandledRejection", (error) => {
      this.note(`the case itself failed: ${error?.stack ?? error}`);
      void this.close(Exit.NotRun);
    });
    for (const signal of ["SIGINT", "SIGTERM"]) {
      process.on(signal, () => void this.close(Exit.NotRun));
    }
  }

  /** Seconds since the start of the run. */
  get seconds() {
    return (nowMs() - this.#startMs) / 1_000;
  }

  at(ms) {
    return ((ms - this.#startMs) / 1_000).toFixed(3);
  }

  /** Writes a line to the record and to standard output. */
  note(text) {
    const line = `${this.at(nowMs())} ${text}`;
    appendFileSync(this.record, line + "\n");
    console.log(line);
  }

  /** Starts a stand-in; resolves when it is up. */
  async #spawnStandin(name, script, args) {
    const child = spawn(process.execPath, [join(HERE, script), ...args], {
      stdio: ["pipe", "pipe", "inherit"],
    });
    this.#adopt(child, name);
    let rest = "";
    await new Promise((resolve, reject) => {
      child.on("exit", () => reject(new Error(`${name} has ended`)));
      child.stdout.on("data", (chunk) => {
        const lines = (rest + chunk).split("\n");
        rest = lines.pop();
        for (const line of lines) {
          const event = { ...JSON.parse(line), from: name };
          this.#lines.push(line);
          this.events.push(event);
          this.#listeners.forEach((listener) => listener(event));
          if (event.kind === "listening" || event.kind === "up") {
            resolve();
          }
        }
      });
    });
    return child;
  }

  #adopt(child, name) {
    this.#children.add(child);
    child.on("exit", (code, signal) => {
      this.#children.delete(child);
      this.events.push({ kind: "exit", at: nowMs(), from: name, code, signal });
    });
  }

  /** Calls `listener` with each event of the stand-ins from now on. */
  onEvent(listener) {
    this.#listeners.add(listener);
  }

  async startStore() {
    const host = `${this.#net}.1`;
    this.store = `${host}:${await freePort(host)}`;
    await this.#spawnStandin("store", "store.mjs", [this.store]);
  }

  /** Tells the store's stand-in what the operator does or which fault it has. */
  lab(command) {
    return this.#call(this.store, { method: "POST", path: "/lab",
      body: command, timeoutMs: 5_000 });
  }

  /** Starts a process with some runners of one service and zone. */
  async startRunners(name, { service, zone, cpu, memMb, count }) {
    const host = `${this.#net}.${50 + this.#children.size}`;
    const runners = [];
    for (let index = 0; index < count; index++) {
      runners.push({
        id: `i-${name}-${index}`,
        port: await freePort(host),
        rack: `r-${name}`,
      });
    }
    const group = { name, runners, config: JSON.stringify({
      store: this.store, service, zone, host, cpu, memMb, runners,
    }) };
    await this.restartRunners(group);
    return group;
  }

  /** Starts the runners again: the same ids and addresses, a new boot. */
  async restartRunners(group) {
    group.child = await this.#spawnStandin(group.name, "runners.mjs",
      [group.config]);
  }

  /** Kills the process of some runners. */
  killRunners(group) {
    this.note(`SIGKILL to the runners ${group.name}`);
    this.events.push({ kind: "crash", at: nowMs(),
      runners: group.runners.map(({ id }) => id) });
    process.kill(group.child.pid, "SIGKILL");
  }

  /** Writes a node's settings and starts it as the deploy file does. */
  async startNodes(count) {
    for (let index = 0; index < count; index++) {
      const host = `${this.#net}.${11 + index}`;
      const zone = this.zones[index % this.zones.length];
      const [front, ready, control, first] = [
        await freePort(host), await freePort(host), await freePort(host),
        await freePort(host),
      ];
      const name = `front-${zone}-${index + 1}`;
      const settings = join(this.temp, `${name}.conf`);
      writeFileSync(settings, [
        `node_name=${name}`, "role=node", "machine_class=front",
        "serves=front", `ip=${host}`, `zone=${zone}`, "region=region",
        ...this.zones.map((each) => `zones.${each}=region`),
        `listen_addrs.front=${host}:${front}`,
        `listen_addrs.ready=${host}:${ready}`,
        `listen_addrs.control=${host}:${control}`,
        `port_range=${first},${first + 15}`, "bootstrap=true",
        "counts_as_loss=false", "limits.cpu_share=0.675",
        "limits.cpu_cores=1", "limits.memory_mb=350", "limits.max_fds=4100",
        "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform",
        "entrypoint=vip", "heartbeat_ms=1500", "orders=push", "advice=",
        "policies=base,drain,config,cost,recover,sched,tenants,quota,places,platform",
        "bounds.require_fence=true", "bounds.hold_max_ms=10000",
        `platform.address=${this.store}`, "platform.form=table",
        "platform.row_bytes=65536", "platform.history_s=20",
      ].join("\n") + "\n");
      const node = { name, front: `${host}:${front}`,
        ready: `${host}:${ready}`, settings, child: undefined };
      this.nodes.push(node);
    }
    await Promise.all(this.nodes.map((node) => this.startNode(node)));
  }

  async startNode(node) {
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(
      process.execPath,
      ["--no-memory-reducer", "target/mustardweir-node.cjs"],
      {
        cwd: ROOT,
        env: { PATH, HOME, ...(LANG ? { LANG } : {}),
          MUSTARDWEIR_SETTINGS: node.settings },
        stdio: ["ignore", "pipe", "pipe"],
      },
    );
    node.child = child;
    this.#adopt(child, node.name);
    let rest = "";
    child.stdout.on("data", (chunk) => {
      const lines = (rest + chunk).split("\n");
      rest = lines.pop();
      for (const line of lines) {
        this.#readLog(node, line);
      }
    });
    child.stderr.on("data", (chunk) => this.note(`${node.name}: ${chunk}`));
  }

  #readLog(node, line) {
    let entry;
    try {
      entry = JSON.parse(line);
    } catch {
      return;
    }
    this.#lines.push(line);
    const { message, fields = {} } = entry;
    const event = { kind: "log", at: nowMs(), from: node.name, message, fields };
    this.events.push(event);
    this.#listeners.forEach((listener) => listener(event));
  }

  /** The node that said last that it owns the domain. */
  get owner() {
    const taken = this.events.findLast((event) =>
      event.kind === "log" && event.message === "Domain taken over"
    );
    return this.nodes.find(({ name }) => name === taken?.from);
  }

  async waitFor(what, isTrue, timeoutMs = 20_000) {
    const untilMs = nowMs() + timeoutMs;
    while (!(await isTrue())) {
      if (nowMs() > untilMs) {
        throw new Error(`waited in vain for ${what}`);
      }
      await sleep(10);
    }
  }

  /** Waits until all nodes are ready. */
  async waitReady(nodes = this.nodes) {
    for (const node of nodes) {
      await this.waitFor(`${node.name} to be ready`, async () =>
        (await this.#call(node.ready, { method: "GET", path: "/readyz",
          timeoutMs: 1_000 })).status === 200);
    }
  }

  /** A client's call to the front of a node; the record lists it. */
  async call(node, { method, path, host, key, body }) {
    const sentMs = nowMs();
    const answer = await this.#call(node.front, { method, path, body,
      headers: { host, "x-mustardweir-key": key,
        "x-mustardweir-timeout-ms": String(CLIENT_TIMEOUT_MS) },
      timeoutMs: CLIENT_TIMEOUT_MS });
    const call = { method, path, node: node.name, sentMs, answeredMs: nowMs(),
      ...answer };
    this.calls.push(call);
    return call;
  }

  /**
   * Hands a submission in like a client: again at another node with the same
   * id after a refusal, a 502 or 504, or no answer.
   */
  async submit({ id, prefix, host, key, spec, steps, nodes = this.nodes }) {
    let call;
    for (let attempt = 0; attempt < 5; attempt++) {
      const node = nodes[(attempt + Number.parseInt(id.slice(-2), 16)) %
        nodes.length];
      call = await this.call(node, { method: "POST", path: prefix + id, host,
        key, body: { spec, steps } });
      if (call.status === 200 || call.status === 404 || call.status === 400) {
        break;
      }
      await sleep(300);
    }
    return call;
  }

  #call(address, { method, path, headers = {}, body, timeoutMs }) {
    const [host, port] = address.split(":");
    const text = body === undefined ? undefined : JSON.stringify(body);
    return new Promise((resolve) => {
      const req = request({ host, port, method, path, agent: this.#agent,
        headers: { ...headers, ...(text === undefined ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        }) } }, (res) => {
        const chunks = [];
        res.on("data", (chunk) => chunks.push(chunk));
        res.on("end", () => {
          clearTimeout(timer);
          const answer = Buffer.concat(chunks).toString();
          let parsed;
          try {
            parsed = JSON.parse(answer);
          } catch {
            parsed = undefined;
          }
          resolve({ status: res.statusCode, body: parsed });
        });
        res.on("error", () => resolve({ status: 0 }));
      });
      const timer = setTimeout(() => {
        req.destroy();
        resolve({ status: 0 });
      }, timeoutMs);
      req.on("error", () => {
        clearTimeout(timer);
        resolve({ status: 0 });
      });
      req.end(text);
    });
  }

  kill(node, signal = "SIGKILL") {
    this.note(`${signal} to ${node.name}`);
    process.kill(node.child.pid, signal);
  }

  /** Writes all calls and events to the record, then ends all processes. */
  async close(code) {
    if (this.closing) {
      return;
    }
    this.closing = true;
    const rows = [
      ...this.calls.map((call) => [call.sentMs,
        `sent ${call.method} ${call.path} to ${call.node}, answered ${
          call.status
        } ${JSON.stringify(call.body ?? {})} at ${this.at(call.answeredMs)}`]),
      ...this.events.filter(({ kind }) => kind !== "log" && kind !== "noted")
        .map((event) => [event.at, describe(event)]),
      ...this.events.filter(({ kind }) => kind === "log")
        .filter(({ message }) => !QUIET.has(message))
        .map(({ at, from, message, fields }) => [at,
          `log of ${from}: ${message} ${JSON.stringify(fields)}`]),
    ].sort((a, b) => a[0] - b[0]);
    const text = rows.map(([at, row]) => `${this.at(at)} ${row}`).join("\n");
    appendFileSync(this.record,
      `--- what was sent, answered and run, in order ---\n${text}\n--- exit ${code}\n`);
    for (const child of this.#children) {
      try {
        process.kill(child.pid, "SIGCONT");
        process.kill(child.pid, "SIGKILL");
      } catch {
        // It has ended already.
      }
    }
    rmSync(this.temp, { recursive: true, force: true });
    console.log(`exit ${code}`);
    process.exit(code);
  }
}

function describe({ at: _, ...event }) {
  const { kind, runner, task, run, how, number } = event;
  switch (kind) {
    case "start":
      return `${runner} starts run ${run} of ${task}`;
    case "end":
      return `${runner} lists end ${number}: run ${run} of ${task} ${how}`;
    default:
      return JSON.stringify(event);
  }
}

/** Log lines that say nothing about a case. */
const QUIET = new Set(["Bytes by kind", "Start ordered", "Attempt ended"]);

/** A desired state of one host; see PROTOCOL.md, "The operator's API". */
export function desiredState(version, { routes, services, tenants }) {
  return JSON.stringify({
    version,
    routes: routes.map((route) => ({
      host: "jobs.example", kind: "unsafe", timeout_ms: 3_000,
      target_latency_ms: 3_000, priority: 1, max_attempts: 3, stretch: 4,
      public: false, ...route,
    })),
    services: services.map((name) => ({ name, health_path: "/healthz",
      max_conns: 64, rejects_overload: false })),
    tenants: tenants.map((tenant) => ({ weight: 1,
      cap: { cpu: 0, mem_mb: 0, gpu: 0 }, ...tenant })),
    limits: {},
  });
}

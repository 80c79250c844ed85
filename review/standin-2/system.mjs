// Starts the nodes with the command of deploy/system.toml, and the stand-ins
// around them, as processes on loopback addresses. Writes what was sent,
// answered and run to record.txt in the folder of the case.
import { spawn } from "node:child_process";
import {
  closeSync,
  createWriteStream,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { Agent, request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const HERE = fileURLToPath(new URL(".", import.meta.url));
const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const ZONES = ["zone-a", "zone-b", "zone-c"];
const PORTS = { front: 0, ready: 0, control: 0, peers: 0, runner: 0, store: 0 };
/** Delay after which the platform starts a process that has ended. */
const RESTART_MS = 300;
/** Time between SIGTERM and SIGKILL. */
const GRACE_MS = 6_000;
const MAX_START_MS = 20_000;
const LIMIT_MS = 115_000;
const CLIENT_TIMEOUT_MS = 3_000;
export const HOST = "jobs.example";
export const POOL = "ovens";
export const EXIT = { held: 0, broken: 1, notRun: 2 };

/** Whether the case is played with its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

function freePort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Returns the command of the deploy file, as words. */
function nodeCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "([^"]+)"/m.exec(text)[1].split(" ");
}

export class System {
  #children = new Set();
  #folder = mkdtempSync(join(tmpdir(), "mustardweir-review-"));
  #network = `127.${20 + Math.floor(Math.random() * 200)}.${
    1 + Math.floor(Math.random() * 250)
  }`;
  #out;
  #startMs = performance.now();
  #agent = new Agent({ keepAlive: false });
  #version = 0;
  #isEnding = false;
  /** Members of each run of a gang, with their runners. */
  #gangs = new Map();
  nodes = [];
  runners = new Map();
  /** Events of the runners: { atMs, runner, event, task, run, how }. */
  events = [];

  constructor(folder) {
    this.#out = createWriteStream(join(folder, "record.txt"));
    setTimeout(() => {
      this.record("the time of the script is over");
      void this.finish(EXIT.notRun);
    }, LIMIT_MS).unref();
    process.on("uncaughtException", (error) => {
      this.record(`the script failed: ${error.stack}`);
      void this.finish(EXIT.notRun);
    });
    process.on("SIGTERM", () => void this.finish(EXIT.notRun));
    process.on("SIGINT", () => void this.finish(EXIT.notRun));
  }

  /** Milliseconds since the start of the script. */
  now() {
    return Math.round(performance.now() - this.#startMs);
  }

  record(text) {
    this.#out.write(`${(this.now() / 1_000).toFixed(3).padStart(8)} s  ${text}\n`);
  }

  async start({ nodes = 3, runners = 4, cpu = 16_000, kinds = ["a"], desired }) {
    for (const name of Object.keys(PORTS)) {
      PORTS[name] = await freePort(`${this.#network}.1`);
    }
    this.store = `${this.#network}.1:${PORTS.store}`;
    await this.#spawnStandIn("store.mjs", [this.store]);
    await this.configure(desired);
    for (let index = 0; index < runners; index++) {
      await this.startRunner(`i-${index}`, index, cpu, kinds[index % kinds.length]);
    }
    for (let index = 0; index < nodes; index++) {
      this.#startNode(index, nodes);
    }
    await this.#untilReady();
    this.record(`${nodes} nodes and ${runners} runners are ready`);
  }

  /** Writes the next version of the desired state. */
  async configure({ routes, tenants }) {
    await this.#admin("put", {
      table: "op",
      key: "config",
      value: encode({
        version: ++this.#version,
        routes: routes.map((route) => ({
          name: `r${route.path_prefix.replaceAll("/", "-")}`,
          host: HOST,
          kind: "unsafe",
          timeout_ms: CLIENT_TIMEOUT_MS,
          target_latency_ms: 3_000,
          priority: 1,
          service: POOL,
          max_attempts: 3,
          stretch: 4,
          public: false,
          ...route,
        })),
        services: [{ name: POOL, rejects_overload: false, spare: false }],
        tenants: tenants.map((tenant) => ({
          weight: 10,
          cap: { cpu: 0, mem_mb: 0, gpu: 0 },
          ...tenant,
        })),
        limits: {},
      }),
    });
    this.record(`desired state ${this.#version} acknowledged`);
  }

  async #admin(what, row) {
    const res = await fetch(`http://${this.store}/standin/${what}`, {
      method: "POST",
      body: JSON.stringify(row),
    });
    await res.text();
  }

  /** Starts a runner; one with a known id is its next boot. */
  async startRunner(id, index = this.runners.get(id).index, cpu = this.runners.get(id).cpu, kind = "a") {
    const host = `${this.#network}.${100 + index}`;
    const child = await this.#spawnStandIn("runner.mjs", [JSON.stringify({
      id,
      store: this.store,
      service: POOL,
      zone: ZONES[index % ZONES.length],
      address: `${host}:${PORTS.runner}`,
      capacity: { cpu, mem_mb: 65_536, gpu: 0 },
      labels: [kind, `r-${index % 2}`],
    })]);
    this.runners.set(id, { child, index, cpu });
    this.record(`runner ${id} boots`);
  }

  /** Lets a runner that says it is healthy turn all starts away, with 503. */
  makeBusy(id, forMs) {
    this.runners.get(id).child.stdin.write(JSON.stringify({ busyMs: forMs }) + "\n");
    this.record(`runner ${id} turns all starts away for ${forMs} ms`);
  }

  /** Crashes a runner: SIGKILL. */
  killRunner(id) {
    this.runners.get(id).child.kill("SIGKILL");
    this.events.push({ atMs: this.now(), runner: id, event: "crash" });
    this.#breakGangs(id);
    this.record(`runner ${id} crashes (SIGKILL)`);
  }

  #startNode(index, total) {
    const ip = `${this.#network}.${10 + index}`;
    const name = `front-${ZONES[index % ZONES.length]}-${index + 1}`;
    const settings = join(this.#folder, `${name}.conf`);
    const seeds = Array.from(
      { length: Math.min(total, 3) },
      (_, at) => `${this.#network}.${10 + at}:${PORTS.control}`,
    );
    writeFileSync(
      settings,
      [
        `node_name=${name}`,
        "role=node",
        "machine_class=front",
        "serves=front",
        `ip=${ip}`,
        `zone=${ZONES[index % ZONES.length]}`,
        "region=region-1",
        `listen_addrs.front=${ip}:${PORTS.front}`,
        `listen_addrs.ready=${ip}:${PORTS.ready}`,
        `port_range=${PORTS.peers},${PORTS.peers + 15}`,
        `seed_nodes=${seeds.join(",")}`,
        "bootstrap=true",
        "counts_as_loss=false",
        "limits.cpu_share=0.675",
        "limits.cpu_cores=1",
        "limits.memory_mb=350",
        "limits.max_fds=4100",
        "limits.link_mbps=1000.0",
        "discovery=platform",
        "entrypoint=vip",
        "heartbeat_ms=1500",
        "bounds.hold_max_ms=10000",
        "bounds.stop_ms=400",
        "bounds.grace_s=6",
        "orders=push",
        "advice=",
        `platform.address=${this.store}`,
        "platform.form=table",
        "platform.row_bytes=65536",
        "platform.across=true",
        "platform.history_s=20",
        "",
      ].join("\n"),
    );
    const node = { name, ip, settings, child: undefined };
    this.nodes.push(node);
    this.#runNode(node);
  }

  #runNode(node) {
    const [program, ...words] = nodeCommand();
    const log = openSync(join(this.#folder, `${node.name}.log`), "a");
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: this.#folder,
        LANG: "C.UTF-8",
        MUSTARDWEIR_SETTINGS: node.settings,
      },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    node.child = child;
    this.#track(child);
    child.once("exit", (code, signal) => {
      if (this.#isEnding) {
        return;
      }
      const downMs = (node.downUntilMs ?? 0) - this.now();
      if (downMs <= 0) {
        this.record(`${node.name} ended by itself: ${code ?? signal}`);
        node.exits = (node.exits ?? 0) + 1;
      }
      // The platform starts a process that has ended again after a short delay.
      setTimeout(() => this.#isEnding || this.#runNode(node), Math.max(downMs, RESTART_MS));
    });
  }

  /** Cuts the power of a node's machine for some time: SIGKILL, then a start. */
  powerOff(node, forMs) {
    node.downUntilMs = this.now() + forMs;
    this.record(`${node.name} loses power for ${forMs} ms (SIGKILL)`);
    node.child.kill("SIGKILL");
  }

  /** Stops a node as planned: SIGTERM; SIGKILL after the grace period. */
  stopNode(node) {
    this.record(`${node.name} is told to stop (SIGTERM)`);
    const { child } = node;
    child.kill("SIGTERM");
    setTimeout(() => child.kill("SIGKILL"), GRACE_MS).unref();
  }

  /** Returns the lines that a node logged, parsed. */
  logOf(node) {
    return readFileSync(join(this.#folder, `${node.name}.log`), "utf8")
      .split("\n").flatMap((line) => {
        try {
          return [JSON.parse(line)];
        } catch {
          return [];
        }
      });
  }

  /** Returns the node that schedules, by what the nodes logged. */
  ownerOfDomain() {
    const owners = this.nodes.flatMap((node) => {
      const last = this.logOf(node)
        .filter(({ message }) => /^Domain (taken over|given up)$/.test(message)).at(-1);
      return last?.message === "Domain taken over"
        ? [{ node, epoch: last.fields.epoch }]
        : [];
    });
    return owners.sort((a, b) => a.epoch - b.epoch).at(-1)?.node;
  }

  async #spawnStandIn(file, args) {
    const child = spawn(process.execPath, [join(HERE, file), ...args], {
      stdio: ["pipe", "pipe", "inherit"],
    });
    this.#track(child);
    await new Promise((resolve, reject) => {
      child.once("exit", () => reject(new Error(`${file} did not start`)));
      createInterface({ input: child.stdout }).on("line", (line) => {
        const event = JSON.parse(line);
        if (event.event === "listening") {
          resolve();
          return;
        }
        this.events.push({ atMs: this.now(), ...event });
        this.#tellGang(event);
        this.record(
          `runner ${event.runner}: ${event.event}` +
            (event.task === undefined ? "" : ` ${event.task} run ${event.run}`) +
            (event.how === undefined ? "" : ` ${event.how}`),
        );
      });
    });
    return child;
  }

  /** Tells the members of a gang when all are there, and when one has ended. */
  #tellGang({ event, task, run, gang, how, runner }) {
    const step = task?.slice(0, task.lastIndexOf("."));
    const name = `${step}#${run}`;
    if (event === "start" && gang > 0) {
      const members = this.#gangs.get(name) ?? new Map();
      this.#gangs.set(name, members.set(task, runner));
      if (members.size === gang) {
        this.#tellMembers(members, { run, isComplete: true });
      }
    } else if (event === "end" && this.#gangs.has(name)) {
      const members = this.#gangs.get(name);
      members.delete(task);
      if (how !== "done") {
        this.#tellMembers(members, { run, isComplete: false });
      }
    }
  }

  #tellMembers(members, told) {
    for (const [task, runner] of members) {
      const { child } = this.runners.get(runner);
      if (child.exitCode === null && child.signalCode === null) {
        child.stdin.write(JSON.stringify({ task, ...told }) + "\n");
      }
    }
  }

  /** Ends the runs of a runner that has crashed, as far as gangs go. */
  #breakGangs(runner) {
    for (const [name, members] of this.#gangs) {
      const here = [...members].filter(([, id]) => id === runner);
      here.forEach(([task]) => members.delete(task));
      if (here.length > 0) {
        this.#tellMembers(members, { run: Number(name.split("#")[1]), isComplete: false });
      }
    }
  }

  #track(child) {
    this.#children.add(child);
    child.once("exit", () => this.#children.delete(child));
  }

  async #untilReady() {
    const limitMs = this.now() + MAX_START_MS;
    for (const node of this.nodes) {
      while (!await isReady(`${node.ip}:${PORTS.ready}`)) {
        if (this.now() > limitMs) {
          this.record(`${node.name} did not become ready`);
          await this.finish(EXIT.notRun);
        }
        await delay(100);
      }
    }
  }

  /** Sends one call of a client; the status is 0 without an answer. */
  call(node, { method, path, key, body, quiet = false }) {
    const sentMs = this.now();
    const text = body === undefined ? "" : JSON.stringify(body);
    return new Promise((resolve) => {
      const done = (status, answer) => {
        const tookMs = this.now() - sentMs;
        if (!quiet) {
          this.record(
            `${method} ${path} at ${node.name}: ${status || "no answer"} ${answer}` +
              ` (${tookMs} ms)`,
          );
        }
        let value;
        try {
          value = JSON.parse(answer);
        } catch {
          value = undefined;
        }
        resolve({ status, value, tookMs });
      };
      const req = request({
        host: node.ip,
        port: PORTS.front,
        method,
        path,
        agent: this.#agent,
        timeout: CLIENT_TIMEOUT_MS,
        headers: {
          host: HOST,
          "x-mustardweir-key": key,
          "x-mustardweir-timeout-ms": String(CLIENT_TIMEOUT_MS),
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        },
      }, (res) => {
        const chunks = [];
        res.on("data", (chunk) => chunks.push(chunk));
        res.on("end", () => done(res.statusCode, Buffer.concat(chunks).toString()));
        res.on("error", () => done(0, ""));
      });
      const timer = setTimeout(() => req.destroy(new Error("time budget")), CLIENT_TIMEOUT_MS);
      req.once("close", () => clearTimeout(timer));
      req.once("error", () => done(0, ""));
      req.end(text);
    });
  }

  /**
   * Hands a submission in, with up to `tries` tries at one node after the other;
   * returns whether it was accepted.
   */
  async submit({ path, key, body, tries = 5 }) {
    for (let at = 0; at < tries; at++) {
      const node = this.nodes[at % this.nodes.length];
      const { status } = await this.call(node, { method: "POST", path, key, body });
      if (status >= 200 && status < 300) {
        return true;
      }
      await delay(500);
    }
    return false;
  }

  /** Waits until `find` returns something, for `limitMs` at most. */
  async until(find, limitMs) {
    const endMs = this.now() + limitMs;
    while (this.now() < endMs) {
      const found = await find();
      if (found) {
        return found;
      }
      await delay(10);
    }
    return undefined;
  }

  /** Ends all processes and the script. */
  async finish(code) {
    if (this.#isEnding) {
      return new Promise(() => {});
    }
    this.#isEnding = true;
    this.record(`exit code ${code}`);
    for (const child of this.#children) {
      child.kill("SIGKILL");
    }
    while (this.#children.size > 0) {
      await delay(20);
    }
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.#folder, { recursive: true, force: true });
    } else {
      console.log(this.#folder);
    }
    await new Promise((resolve) => this.#out.end(resolve));
    process.exit(code);
  }
}

function encode(value) {
  return Buffer.from(JSON.stringify(value)).toString("base64");
}

async function isReady(address) {
  try {
    const res = await fetch(`http://${address}/readyz`, {
      signal: AbortSignal.timeout(1_000),
    });
    await res.text();
    return res.status === 200;
  } catch {
    return false;
  }
}

let lastId = 0;
/** Returns a new id of a submission: 16 hexadecimal digits. */
export function newId() {
  return (Date.now().toString(16) + (++lastId).toString(16).padStart(5, "0"))
    .slice(-16).padStart(16, "0");
}

// Installs the packed binaries offline, outside the repository, and starts each
// of them. The libraries come from the cache that `npm ci` has filled.
import { execFileSync, spawn, spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { basename, join } from "node:path";
import { createInterface } from "node:readline";
import { expect } from "chai";
import { readManifest } from "./bundles.mjs";

const TIMEOUT_MS = 180_000;
const START_TIMEOUT_MS = 30_000;
const NODE_ARGS = ["--availability-zone", "a", "--platform", "PLATFORM"];

/** The binaries, in the order in which they are started. */
const BINARIES = [
  {
    name: "mustardweir-platform",
    args: ["--listen", "127.0.0.1:0"],
    ready: /listening on (\S+)/,
  },
  {
    name: "mustardweir-worker",
    args: ["--listen", "127.0.0.1:0", "--worker", "a1,8,32768,0,8"],
    ready: /listening on (\S+)/,
  },
  {
    name: "mustardweir-scheduler",
    args: ["--node-id", "s1", "--listen", "127.0.0.1:0", ...NODE_ARGS],
    ready: /scheduler is ready/,
  },
  {
    name: "mustardweir-entry",
    args: ["--node-id", "e1", "--listen", "127.0.0.1:ENTRY", ...NODE_ARGS],
    ready: /entry is ready/,
  },
];

describe("Packed binaries", function () {
  this.timeout(TIMEOUT_MS);
  const folder = mkdtempSync(join(tmpdir(), "mustardweir-install-"));
  const children = [];
  const substitutions = { PLATFORM: "", ENTRY: "" };

  before(async () => {
    const args = ["scripts/pack.mjs", folder];
    const packed = execFileSync(process.execPath, args, { encoding: "utf8" });
    install(folder, packed.trim().split("\n").map((path) => basename(path)));
    substitutions.ENTRY = String(await freePort());
  });

  after(async () => {
    for (const child of children.reverse()) {
      child.kill("SIGTERM");
      await new Promise((resolve) => {
        child.exitCode === null ? child.once("exit", resolve) : resolve();
      });
    }
    rmSync(folder, { recursive: true });
  });

  for (const { name, args, ready } of BINARIES) {
    it(`${name} prints its help and starts`, async () => {
      expect(runBinary(folder, name, ["--help"]).stdout).to.include(name);
      const filled = args.map((arg) =>
        arg.replace(/PLATFORM|ENTRY/, (word) => substitutions[word])
      );
      const child = spawn(binaryPath(folder, name), filled, {
        cwd: folder,
        stdio: ["ignore", "pipe", "pipe"],
      });
      children.push(child);
      const [, origin = ""] = await firstMatch(child, ready);
      substitutions.PLATFORM ||= origin;
    });
  }

  it("mustardweir prints its help and reaches the entry", () => {
    expect(runBinary(folder, "mustardweir", ["--help"]).stdout)
      .to.include("Exit codes:");
    const entry = `http://127.0.0.1:${substitutions.ENTRY}`;
    const args = ["--entry", entry, "--key", "wrong", "teams"];
    const { status, stderr } = runBinary(folder, "mustardweir", args);
    expect(stderr).to.match(/unknown-key|configuration-unconfirmed/);
    expect(status).to.equal(1);
  });
});

/** Installs with a lock file that has the versions of the repository's. */
function install(folder, tarballs) {
  const lock = JSON.parse(readFileSync("package-lock.json", "utf8"));
  const packed = tarballs.map((file) => {
    execFileSync("tar", ["xzf", file, "package/package.json"], { cwd: folder });
    const { name, version, dependencies, bin } = readManifest(
      join(folder, "package"),
    );
    return { name, version, dependencies, bin, resolved: `file:${file}` };
  });
  rmSync(join(folder, "package"), { recursive: true });
  const dependencies = Object.fromEntries(
    packed.map(({ name, resolved }) => [name, resolved]),
  );
  const entries = packed.map((
    { name, ...entry },
  ) => [`node_modules/${name}`, entry]);
  const libraries = listDependencyEntries(lock.packages, packed);
  writeJson(join(folder, "package.json"), { dependencies });
  writeJson(join(folder, "package-lock.json"), {
    lockfileVersion: lock.lockfileVersion,
    packages: Object.fromEntries([
      ["", { dependencies }],
      ...entries,
      ...libraries,
    ]),
  });
  const args = ["ci", "--offline", "--no-audit", "--no-fund"];
  execFileSync("npm", args, { cwd: folder, stdio: "pipe" });
}

/** Returns the lock entries of all direct and indirect dependencies. */
function listDependencyEntries(entries, packages) {
  const found = new Map();
  const missing = packages.flatMap(({ dependencies }) =>
    Object.keys(dependencies)
  );
  while (missing.length > 0) {
    const path = `node_modules/${missing.pop()}`;
    const entry = entries[path];
    if (entry !== undefined && !found.has(path)) {
      found.set(path, entry);
      missing.push(...Object.keys({
        ...entry.dependencies,
        ...entry.peerDependencies,
        ...entry.optionalDependencies,
      }));
    }
  }
  return [...found];
}

function writeJson(path, value) {
  writeFileSync(path, `${JSON.stringify(value, undefined, 2)}\n`);
}

function binaryPath(folder, name) {
  return join(folder, "node_modules", ".bin", name);
}

function runBinary(folder, name, args) {
  const options = { cwd: folder, encoding: "utf8" };
  return spawnSync(binaryPath(folder, name), args, options);
}

/**
 * Resolves to the match of the first output line that matches. Rejects if the
 * process ends or prints no such line in time.
 */
function firstMatch(child, pattern) {
  return new Promise((resolve, reject) => {
    const lines = [];
    const fail = (problem) =>
      reject(new Error(`${problem}: ${lines.join(" ")}`));
    const timer = setTimeout(() => fail("not ready in time"), START_TIMEOUT_MS);
    child.once("exit", () => fail("ended"));
    for (const input of [child.stdout, child.stderr]) {
      createInterface({ input }).on("line", (line) => {
        lines.push(line);
        const match = pattern.exec(line);
        if (match) {
          clearTimeout(timer);
          resolve(match);
        }
      });
    }
  });
}

function freePort() {
  return new Promise((resolve) => {
    const server = createServer();
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

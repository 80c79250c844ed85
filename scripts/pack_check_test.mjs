// Installs the packed binaries outside the repository, without a network, and
// starts each of them. The libraries come from the cache that `npm ci` filled.
import { execFileSync, spawn, spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { basename, join } from "node:path";
import { createInterface } from "node:readline";
import { expect } from "chai";
import { readManifest } from "./bundles.mjs";

const LIMIT_MS = 180_000;
const START_LIMIT_MS = 30_000;
const NODE = ["--availability-zone", "a", "--platform", "PLATFORM"];

/** Each binary, in the order of their starts. */
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
    args: ["--node-id", "s1", "--listen", "127.0.0.1:0", ...NODE],
    ready: /scheduler is ready/,
  },
  {
    name: "mustardweir-entry",
    args: ["--node-id", "e1", "--listen", "127.0.0.1:ENTRY", ...NODE],
    ready: /entry is ready/,
  },
];

describe("Packed binaries", function () {
  this.timeout(LIMIT_MS);
  const folder = mkdtempSync(join(tmpdir(), "mustardweir-install-"));
  const children = [];
  const places = { PLATFORM: "", ENTRY: "" };

  before(async () => {
    const args = ["scripts/pack.mjs", folder];
    const packed = execFileSync(process.execPath, args, { encoding: "utf8" });
    install(folder, packed.trim().split("\n").map((path) => basename(path)));
    places.ENTRY = String(await freePort());
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
        arg.replace(/PLATFORM|ENTRY/, (word) => places[word])
      );
      const child = spawn(binaryPath(folder, name), filled, {
        cwd: folder,
        stdio: ["ignore", "pipe", "pipe"],
      });
      children.push(child);
      const [, origin = ""] = await firstMatch(child, ready);
      places.PLATFORM ||= origin;
    });
  }

  it("mustardweir prints its help and reaches the entry", () => {
    expect(runBinary(folder, "mustardweir", ["--help"]).stdout)
      .to.include("Exit codes:");
    const entry = `http://127.0.0.1:${places.ENTRY}`;
    const args = ["--entry", entry, "--key", "wrong", "teams"];
    const { status, stderr } = runBinary(folder, "mustardweir", args);
    expect(stderr).to.match(/unknown-key|configuration-unconfirmed/);
    expect(status).to.equal(1);
  });
});

/** Installs by a lock file that has the versions of the repository's own. */
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
  const libraries = listNeeded(lock.packages, packed);
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

/** Entries of the libraries that the packages need, directly or not. */
function listNeeded(entries, packages) {
  const needed = new Map();
  const missing = packages.flatMap(({ dependencies }) =>
    Object.keys(dependencies)
  );
  while (missing.length > 0) {
    const path = `node_modules/${missing.pop()}`;
    const entry = entries[path];
    if (entry !== undefined && !needed.has(path)) {
      needed.set(path, entry);
      missing.push(...Object.keys({
        ...entry.dependencies,
        ...entry.peerDependencies,
        ...entry.optionalDependencies,
      }));
    }
  }
  return [...needed];
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

/** Resolves with the match of the first line that matches. */
function firstMatch(child, pattern) {
  return new Promise((resolve, reject) => {
    const lines = [];
    const fail = (why) => reject(new Error(`${why}: ${lines.join(" ")}`));
    const limit = setTimeout(() => fail("not ready in time"), START_LIMIT_MS);
    child.once("exit", () => fail("ended"));
    for (const input of [child.stdout, child.stderr]) {
      createInterface({ input }).on("line", (line) => {
        lines.push(line);
        const match = pattern.exec(line);
        if (match) {
          clearTimeout(limit);
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

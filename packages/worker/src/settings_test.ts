import { basename } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { expect } from "chai";
import { parseSettings } from "./settings.ts";

const WORKER = ["--worker", "w1,4,1000,0,2"];
const MISSING_FILE = fileURLToPath(new URL("missing.yaml", import.meta.url));

const MANIFEST = fileURLToPath(import.meta.resolve("../package.json"));

const ERROR_CASES = [
  { what: "no workers", args: [], message: /^--worker: At least one/ },
  {
    what: "too few fields",
    args: ["--worker", "w1,4"],
    message: /w1,4 is not/,
  },
  {
    what: "no processors",
    args: ["--worker", "w,0,9,0,2"],
    message: /: cpu: /,
  },
  { what: "a bad id", args: ["--worker", "w/1,4,9,0,2"], message: /: id: is / },
  { what: "an id twice", args: [...WORKER, ...WORKER], message: /given twice/ },
  ...[
    ["--listen", "localhost:80", "localhost:80 is not an IP address and port"],
    ["--listen", "127.0.0.1:65536", "127.0.0.1:65536 is not an IP address"],
    ["--seed", "x", "Invalid input: expected number"],
    ["--duration-error", "0.5", "Too small"],
    ["--memory-factor", "0", "Too small"],
    ["--usage-lag-ms", "-1", "Too small"],
    ["--workers-file", MISSING_FILE, "ENOENT"],
    ["--workers-file", MANIFEST, `${MANIFEST} is not a list`],
  ].map(([flag = "", value = "", message]) => ({
    what: `${flag} ${basename(value)}`,
    args: [...WORKER, flag, value],
    message: new RegExp(`^${flag}: ${message}`),
  })),
  { what: "--wrker", args: ["--wrker", "x"], message: /option '--wrker'$/ },
];

const ENVIRONMENT = {
  MUSTARDWEIR_WORKER_LISTEN: "127.0.0.1:7081",
  MUSTARDWEIR_WORKER_WORKER: "w1,4,1000,1,2;w2,0.5,10,0,1",
  MUSTARDWEIR_WORKER_SEED: "9",
  MUSTARDWEIR_WORKER_DURATION_ERROR: "2",
  MUSTARDWEIR_WORKER_MEMORY_FACTOR: "1.5",
  MUSTARDWEIR_WORKER_USAGE_LAG_MS: "250",
};

const W1 = { cpuMillis: 4000, memoryMb: 1000, accelerators: 1, slots: 2 };
const W2 = { cpuMillis: 500, memoryMb: 10, accelerators: 0, slots: 1 };
const FROM_ENVIRONMENT = {
  host: "127.0.0.1",
  port: 7081,
  workers: [{ id: "w1", capacity: W1 }, { id: "w2", capacity: W2 }],
  seed: 9,
  durationError: 2,
  memoryFactor: 1.5,
  usageLagMs: 250,
};

const SETTINGS_CASES = [
  {
    name: "the defaults",
    env: {},
    args: ["--worker", "w1,4,1000,1,2", "--worker", "w2,0.5,10,0,1"],
    expected: {
      ...FROM_ENVIRONMENT,
      port: 7080,
      seed: 1,
      durationError: 1,
      memoryFactor: 1,
      usageLagMs: 0,
    },
  },
  {
    name: "environment variables",
    env: ENVIRONMENT,
    args: [],
    expected: FROM_ENVIRONMENT,
  },
  {
    name: "arguments before environment variables",
    env: ENVIRONMENT,
    args: ["--listen", "[::1]:0", "--seed", "4"],
    expected: { ...FROM_ENVIRONMENT, host: "::1", port: 0, seed: 4 },
  },
] as const;

describe("parseSettings", () => {
  for (const { what, args, message } of ERROR_CASES) {
    it(`refuses ${what}`, () => {
      const err = parseSettings(args)._unsafeUnwrapErr();
      expect(err.message).to.match(message);
      expect(err.message).not.to.include("\n");
    });
  }

  for (const { name, env, args, expected } of SETTINGS_CASES) {
    it(`reads ${name}`, () => {
      Object.assign(process.env, env);
      try {
        expect(parseSettings(args)._unsafeUnwrap()).to.deep.equal(expected);
      } finally {
        for (const variable of Object.keys(env)) {
          delete process.env[variable];
        }
      }
    });
  }
});

// Stand-in of the platform's metadata store. Usage: store.mjs HOST:PORT
// Follows PROTOCOL.md: rows-tx, rows-get, rows-parts and rows-feed, 4 ms an
// answer, 20 s of history. Runner entries expire after three silent intervals.
import { createServer } from "node:http";
import { setTimeout as delay } from "node:timers/promises";

const TX_MS = 4;
const HISTORY_MS = 20_000;
const PAGE_ROWS = 500;
const PAGE_BYTES = 1_000_000;
const MAX_ENTRIES = 100;
const ROW_BYTES = 65_536;
const RUNNER_SILENCE_MS = 4_500;
const TICK_MS = 100;

const startMs = performance.now();
const now = () => performance.now() - startMs;
const rows = new Map();
const seenMs = new Map();
const waiting = new Set();
let version = 0;
let changes = [];
let forgotten = 0;

const idOf = ({ table, part = "", key }) => JSON.stringify([table, part, key]);
const stamp = () => ({ row_version: version, now_ms: Math.floor(now()) });

function apply(puts, removes) {
  version++;
  for (const { table, part = "", key, value } of puts) {
    const row = { table, part, key, value, row_version: version };
    rows.set(idOf(row), row);
    changes.push({ atMs: now(), row });
  }
  for (const { table, part = "", key } of removes) {
    const row = { table, part, key, row_version: version, deleted: true };
    rows.delete(idOf(row));
    changes.push({ atMs: now(), row });
  }
  const keep = changes.findIndex(({ atMs }) => atMs > now() - HISTORY_MS);
  if (keep > 0) {
    forgotten = changes[keep - 1].row.row_version;
    changes = changes.slice(keep);
  }
  [...waiting].forEach((wake) => wake());
}

function commit({ expected = [], puts = [], remove = [] }) {
  const isOwn = [...puts, ...remove].every(({ table }) =>
    table !== "op" && table !== "servers"
  );
  if (!isOwn) {
    return [403, {}];
  }
  const isTooLarge = puts.some(({ value = "" }) =>
    Buffer.from(value, "base64").length > ROW_BYTES
  );
  if (expected.length + puts.length + remove.length > MAX_ENTRIES || isTooLarge) {
    return [400, {}];
  }
  const current = expected.map((row) => rows.get(idOf(row)));
  if (!expected.every((row, i) => (current[i]?.row_version ?? 0) === row.row_version)) {
    return [412, { rows: current.filter((row) => row !== undefined), ...stamp() }];
  }
  apply(puts, remove);
  return [200, stamp()];
}

function list(query) {
  const [table, part, from] = ["table", "part", "from"].map((name) =>
    query.get(name) ?? ""
  );
  const target = query.get("target");
  const limit = Math.min(Number(query.get("limit") ?? PAGE_ROWS), PAGE_ROWS);
  const found = [...rows.values()].filter((row) =>
    row.table === table && row.part === part && row.key >= from &&
    (target === null || row.key < target)
  ).sort((a, b) => a.key < b.key ? -1 : 1);
  const page = [];
  let bytes = 0;
  for (const row of found.slice(0, limit)) {
    bytes += row.value.length;
    if (page.length > 0 && bytes > PAGE_BYTES) {
      break;
    }
    page.push(row);
  }
  return [200, { rows: page, has_more: found.length > page.length, ...stamp() }];
}

function listParts(query) {
  const after = query.get("after") ?? "";
  const parts = new Set([...rows.values()]
    .filter((row) => row.table === query.get("table") && row.part > after)
    .map((row) => row.part));
  return [200, { parts: [...parts].sort().slice(0, 1_000), ...stamp() }];
}

async function follow(query) {
  const after = Number(query.get("after"));
  const newer = () =>
    changes.map(({ row }) => row).filter((row) =>
      row.table === query.get("table") && row.row_version > after
    );
  const endMs = now() + Math.min(Number(query.get("wait_ms") ?? 0), 30_000);
  while (newer().length === 0 && now() < endMs) {
    await new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.max(1, endMs - now()));
      waiting.add(wake);
    });
  }
  return after < forgotten ? [410, {}] : [200, { rows: newer(), ...stamp() }];
}

/** Writes of the operator and of runners, which don't go through rows-tx. */
function adminCall(path, body) {
  if (path === "/standin/put") {
    seenMs.set(body.key, now());
    apply([body], []);
  } else {
    apply([], [body]);
  }
  return [200, stamp()];
}

function expireRunners() {
  for (const row of [...rows.values()].filter(({ table }) => table === "servers")) {
    if (now() - (seenMs.get(row.key) ?? 0) > RUNNER_SILENCE_MS) {
      apply([], [row]);
    }
  }
}

async function readBody(req) {
  const chunks = [];
  for await (const chunk of req) {
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString();
  return text === "" ? {} : JSON.parse(text);
}

async function answer(req) {
  const body = await readBody(req);
  const url = new URL(req.url, "http://store");
  if (url.pathname.startsWith("/standin/")) {
    return adminCall(url.pathname, body);
  }
  await delay(TX_MS);
  switch (url.pathname) {
    case "/rows-tx":
      return commit(body);
    case "/rows-get":
      return list(url.searchParams);
    case "/rows-parts":
      return listParts(url.searchParams);
    case "/rows-feed":
      return await follow(url.searchParams);
    default:
      return [404, {}];
  }
}

const [host, port] = process.argv[2].split(":");
createServer((req, res) => {
  answer(req).then(([status, body]) => {
    const text = JSON.stringify(body);
    res.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    });
    res.end(text);
  }).catch(() => res.destroy());
}).listen(Number(port), host, () => console.log(JSON.stringify({ event: "listening" })));
setInterval(expireRunners, TICK_MS);
process.stdin.resume().on("end", () => process.exit());

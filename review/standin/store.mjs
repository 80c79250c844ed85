// Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's
// metadata store", form `table`). Usage: node store.mjs HOST:PORT
//
// The lab controls it through POST /lab, which isn't part of the platform:
//   {"put": [table, key, value]}   the operator or a runner writes a row
//   {"remove": [table, key]}
//   {"fault": {"mode": "busy" | "silent", "table": NAME | undefined}}
//   {"fault": null}
import { createServer } from "node:http";
import { emit, endWithParent, nowMs, readText, sendJson } from "./events.mjs";

const [host, port] = process.argv[2].split(":");
const ROW_BYTES = 65_536;
const TX_MS = 4;
const READ_MS = 1;
const HISTORY_MS = 20_000;
const PAGE_ROWS = 500;

/** Rows by table, then by part and key. */
const tables = new Map();
/** Changes by table, oldest first: { version, atMs, row }. */
const changes = new Map();
/** Version up to which the history of a table is gone. */
const forgotten = new Map();
const waiters = new Set();
let version = 0;
let fault = null;
const started = nowMs();

function tableOf(name) {
  if (!tables.has(name)) {
    tables.set(name, new Map());
    changes.set(name, []);
    forgotten.set(name, 0);
  }
  return tables.get(name);
}

const idOf = ({ part = "", key }) => `${part}\u0000${key}`;
const clock = () => ({ row_version: version, now_ms: nowMs() - started });

function note(table, row) {
  const list = changes.get(table);
  list.push({ version: row.row_version, atMs: nowMs(), row });
  while (list.length > 0 && list[0].atMs < nowMs() - HISTORY_MS) {
    forgotten.set(table, list.shift().version);
  }
}

/** Applies puts and removes as one transaction. */
function apply(puts, remove) {
  version++;
  for (const { table, part = "", key, value } of puts) {
    const row = { table, part, key, value, row_version: version };
    tableOf(table).set(idOf(row), row);
    note(table, row);
  }
  for (const { table, part = "", key } of remove) {
    const gone = { table, part, key, row_version: version, deleted: true };
    if (tableOf(table).delete(idOf(gone))) {
      note(table, gone);
    }
  }
  for (const wake of [...waiters]) {
    wake();
  }
}

function transact(body) {
  const { expected = [], puts = [], remove = [] } = body;
  if (expected.length + puts.length + remove.length > 100) {
    return [400, { reason: "too many entries" }];
  }
  const large = puts.find(({ value = "" }) =>
    Buffer.from(value, "base64").length > ROW_BYTES
  );
  if (large !== undefined) {
    const bytes = Buffer.from(large.value, "base64").length;
    emit({ kind: "row-too-large", key: large.key, bytes });
    return [400, { reason: `row ${large.key} is larger than row_bytes` }];
  }
  const current = expected.map((row) => ({
    ...row,
    ...(tableOf(row.table).get(idOf(row)) ??
      { row_version: 0, value: "" }),
    wanted: row.row_version,
  }));
  if (current.some((row) => row.row_version !== row.wanted)) {
    return [412, {
      rows: current.map(({ wanted: _, ...row }) => row),
      ...clock(),
    }];
  }
  apply(puts, remove);
  return [200, clock()];
}

function listRows(query) {
  const part = query.get("part") ?? "";
  const from = query.get("from") ?? "";
  const target = query.get("target");
  const limit = Math.min(Number(query.get("limit") ?? PAGE_ROWS), PAGE_ROWS);
  const rows = [...tableOf(query.get("table")).values()]
    .filter((row) => row.part === part && row.key >= from)
    .filter((row) => target === null || row.key < target)
    .sort((a, b) => a.key < b.key ? -1 : 1);
  return [200, {
    rows: rows.slice(0, limit),
    has_more: rows.length > limit,
    ...clock(),
  }];
}

function changedRows(table, after) {
  const newest = new Map();
  for (const { version: at, row } of changes.get(table)) {
    if (at > after) {
      newest.delete(idOf(row));
      newest.set(idOf(row), row);
    }
  }
  return [...newest.values()];
}

async function feed(query) {
  const table = query.get("table");
  const after = Number(query.get("after") ?? 0);
  const waitMs = Math.min(Number(query.get("wait_ms") ?? 0), 30_000);
  tableOf(table);
  const untilMs = nowMs() + waitMs;
  for (;;) {
    if (after < forgotten.get(table)) {
      return [410, { reason: "history" }];
    }
    const rows = changedRows(table, after);
    const leftMs = untilMs - nowMs();
    if (rows.length > 0 || leftMs <= 0) {
      return [200, { rows, ...clock() }];
    }
    await new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, leftMs);
      waiters.add(wake);
    });
  }
}

/** Transactions of one part are carried out one after the other. */
const busyUntil = new Map();
function txDelay(body) {
  const part = body.puts?.[0]?.part ?? body.remove?.[0]?.part ?? "";
  const startMs = Math.max(nowMs(), busyUntil.get(part) ?? 0);
  busyUntil.set(part, startMs + TX_MS);
  return startMs + TX_MS - nowMs();
}

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const concerns = (table) =>
  fault !== null && (fault.table === undefined || fault.table === table);

async function handle(req, res) {
  const url = new URL(req.url, "http://store");
  if (url.pathname === "/lab") {
    control(JSON.parse(await readText(req)));
    sendJson(res, 200, clock());
    return;
  }
  const body = req.method === "POST" ? JSON.parse(await readText(req)) : {};
  const table = url.searchParams.get("table") ?? body.puts?.[0]?.table ??
    body.remove?.[0]?.table ?? body.expected?.[0]?.table;
  if (concerns(table)) {
    if (fault.mode === "busy") {
      sendJson(res, 503, { reason: "unavailable" });
    }
    return;
  }
  let answer;
  switch (`${req.method} ${url.pathname}`) {
    case "POST /rows-tx":
      await sleep(txDelay(body));
      answer = concerns(table) ? [503, {}] : transact(body);
      break;
    case "GET /rows-get":
      await sleep(READ_MS);
      answer = listRows(url.searchParams);
      break;
    case "GET /rows-feed":
      answer = await feed(url.searchParams);
      if (concerns(table)) {
        answer = [503, {}];
      }
      break;
    default:
      answer = [404, {}];
  }
  sendJson(res, ...answer);
}

function control({ put, remove, fault: next }) {
  // What a runner writes while the table is away is lost.
  if (put !== undefined && !(put[0] === "servers" && concerns("servers"))) {
    const [table, key, value] = put;
    apply([{ table, key, value: Buffer.from(value).toString("base64") }], []);
  }
  if (remove !== undefined) {
    const [table, key] = remove;
    apply([], [{ table, key }]);
  }
  if (next !== undefined) {
    fault = next;
    emit({ kind: "store-fault", fault });
    for (const wake of [...waiters]) {
      wake();
    }
  }
}

endWithParent();
createServer((req, res) => {
  handle(req, res).catch((error) => {
    emit({ kind: "store-error", error: String(error) });
    res.destroy();
  });
}).listen(Number(port), host, () => emit({ kind: "listening" }));

// A node is stopped with SIGTERM. A client that had opened its channels before
// sends its first requests on them while the node still runs.
import { connect } from "node:net";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { desiredState, Exit, Lab, sleep } from "../standin/lab.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const CHANNELS = 12;
const GRACE_MS = 6_000;
const LOSS_SLACK_MS = 200;
const BUDGET_MS = 3_000;
/** When the requests are sent, from the SIGTERM on. */
const FIRST_SEND_MS = 2_700;
const LAST_SEND_MS = 5_000;
const now = () => performance.timeOrigin + performance.now();

const lab = new Lab(dirname(fileURLToPath(import.meta.url)));
await lab.startStore();
await lab.lab({
  put: ["op", "config", desiredState(1, {
    routes: [{ name: "r-order", path_prefix: "/order/", service: "ovens",
      priority: 0, target_latency_ms: 250 }],
    services: ["ovens"],
    tenants: [{ name: "shop", api_keys: ["key-1"] }],
  })],
});
await lab.startRunners("ovens", { service: "ovens", zone: "zone-a",
  cpu: 64_000, memMb: 262_144, count: 2 });
await lab.startNodes(3);
await lab.waitReady();
await lab.waitFor("an owner of the domain", () => lab.owner !== undefined);
await sleep(1_500);

const node = lab.nodes[Math.floor(Math.random() * lab.nodes.length)];
const [host, port] = node.front.split(":");
const requests = [];
for (let index = 0; index < CHANNELS; index++) {
  const request = { id: (0xf000 + index).toString(16).padStart(16, "0"),
    received: "" };
  request.socket = connect(Number(port), host);
  request.socket.on("data", (chunk) => request.received += chunk);
  request.socket.on("end", () => request.endedMs = now());
  request.socket.on("error", ({ code }) => request.error = code);
  request.socket.on("close", () => request.closedMs = now());
  requests.push(request);
}
await sleep(500);
lab.note(`${CHANNELS} channels are open to ${node.name}, none has been used yet`);
const termMs = now();
if (TROUBLE) {
  lab.kill(node, "SIGTERM");
  node.child.on("exit", (code) =>
    lab.note(`${node.name} has ended with ${code}`));
}
const body = JSON.stringify({ spec: "run=500", steps: [{ count: 1, cpu: 1_000,
  mem_mb: 64, estimate_ms: 500 }] });
await Promise.all(requests.map(async (request, index) => {
  const afterMs = FIRST_SEND_MS +
    (LAST_SEND_MS - FIRST_SEND_MS) * index / (CHANNELS - 1);
  await sleep(termMs + afterMs - now());
  if (request.closedMs === undefined) {
    request.sentMs = now();
    request.socket.write(`POST /order/${request.id} HTTP/1.1\r\n` +
      `Host: jobs.example\r\nX-Mustardweir-Key: key-1\r\n` +
      `X-Mustardweir-Timeout-Ms: ${BUDGET_MS}\r\n` +
      `Content-Type: application/json\r\n` +
      `Content-Length: ${body.length}\r\n\r\n${body}`);
  }
}));
await sleep(Math.max(0, termMs + GRACE_MS + 2_000 - now()));
// A process that closes a channel with unread bytes resets it (DEPLOY.md). One
// that ends without a reset has read the whole request.
const lost = requests.filter(({ sentMs, endedMs, received, error }) =>
  sentMs !== undefined && received === "" && error === undefined &&
  endedMs - sentMs > LOSS_SLACK_MS && endedMs - sentMs < BUDGET_MS &&
  endedMs - termMs <= GRACE_MS + 1_000
);
for (const { id, sentMs, endedMs, received, error } of requests) {
  const sent = sentMs === undefined ? "not sent" : `sent at ${lab.at(sentMs)}`;
  lab.note(`POST /order/${id}: ${sent}, answered "${
    received.split("\r\n")[0]
  }", channel ended at ${endedMs === undefined ? "-" : lab.at(endedMs)} ${
    error ?? ""
  }`);
}
const answered = requests.filter(({ received }) => received !== "").length;
lab.note(`LOST: ${lost.length} of ${CHANNELS} requests were read, and their channels ended without an answer; ${answered} were answered`);
await lab.close(lost.length > 0 ? Exit.Broken : Exit.Held);

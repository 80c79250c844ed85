// A crowd of clients that nobody controls, as a process of its own:
//   node crowd.mjs HOST PORT KEY CLIENTS
// Each client sends submissions ahead and reads no answer. When the node closes
// the connection the client opens another one. Ends when its input is closed.
import net from "node:net";

const [host, port, key, clients] = process.argv.slice(2);
const CALLS_AHEAD = 1_000;
const SPEC_BYTES = 3_900;
const RECONNECT_MS = 500;

function newId() {
  return Array.from({ length: 16 }, () =>
    "0123456789abcdef"[Math.floor(Math.random() * 16)]).join("");
}

function submission() {
  const body = JSON.stringify({
    spec: "x".repeat(SPEC_BYTES),
    steps: [{ count: 1, cpu: 1, mem_mb: 1, estimate_ms: 1 }],
  });
  return [
    `POST /orders/${newId()} HTTP/1.1`,
    "Host: jobs.example",
    `X-Mustardweir-Key: ${key}`,
    "Content-Type: application/json",
    `Content-Length: ${body.length}`,
    "",
    body,
  ].join("\r\n");
}

function connect() {
  const socket = net.connect({ host, port: Number(port) });
  socket.pause();
  socket.on("error", () => {});
  socket.on("close", () => setTimeout(connect, RECONNECT_MS));
  socket.write(Array.from({ length: CALLS_AHEAD }, submission).join(""));
}

for (let index = 0; index < Number(clients); index++) {
  setTimeout(connect, 5 * index);
}

process.stdin.resume().on("end", () => process.exit());

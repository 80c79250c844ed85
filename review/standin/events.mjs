// Helpers shared by the stand-ins: bodies, event lines, and a common clock.

/** Milliseconds on a clock that all processes of a run share. */
export function nowMs() {
  return performance.timeOrigin + performance.now();
}

/** Writes one event as a line of JSON; the lab collects them. */
export function emit(event) {
  process.stdout.write(JSON.stringify({ at: nowMs(), ...event }) + "\n");
}

/** Reads a request's body as text. */
export function readText(req) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("end", () => resolve(Buffer.concat(chunks).toString()));
    req.on("error", reject);
  });
}

/** Sends a JSON response. */
export function sendJson(res, status, body) {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  res.end(text);
}

/** Ends the process when the lab, its parent, is gone. */
export function endWithParent() {
  process.stdin.resume();
  process.stdin.on("end", () => process.exit(0));
  process.stdin.on("error", () => process.exit(0));
}

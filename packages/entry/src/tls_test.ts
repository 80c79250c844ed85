import { X509Certificate } from "node:crypto";
import { copyFileSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { connect, type TLSSocket } from "node:tls";
import { fileURLToPath } from "node:url";
import {
  Metrics,
  openTlsFiles,
  type TlsFiles,
  tlsFromSettings,
} from "@mustardweir/runtime";
import { expect } from "chai";
import { Client } from "undici";
import { CallerFront } from "./mod.ts";

const DATA = new URL("../../runtime/testdata/tls/", import.meta.url);
const CA = readFileSync(new URL("ca.pem", DATA));
const POLL_MS = 10;
const WAIT_LIMIT_MS = 10_000;

function dataFile(name: string): string {
  return fileURLToPath(new URL(name, DATA));
}

interface ReloadCase {
  readonly name: string;
  /** Test files copied over the certificate and then over the key. */
  readonly cert: string;
  readonly key: string;
  /** The file whose certificate the server presents afterwards. */
  readonly shown: string;
  readonly counter: string;
}

const RELOAD_CASES: readonly ReloadCase[] = [
  {
    name: "presents a renewed certificate without a restart",
    cert: "b-renewed.pem",
    key: "b-renewed.key",
    shown: "b-renewed.pem",
    counter: "tls_reloads",
  },
  {
    name: "keeps the old certificate when the key does not match the new one",
    cert: "b-renewed.pem",
    key: "a.key",
    shown: "b.pem",
    counter: "tls_reloads_failed",
  },
  {
    name: "keeps the old certificate when the new file is not a certificate",
    cert: "make.sh",
    key: "b.key",
    shown: "b.pem",
    counter: "tls_reloads_failed",
  },
];

describe("TLS of the caller front", () => {
  let folder: string;
  let metrics: Metrics;
  let files: TlsFiles;
  let front: CallerFront;

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), "mustardweir-tls-"));
    metrics = new Metrics();
    replaceFiles("b.pem", "b.key");
    files = openTlsFiles({
      paths: { cert: join(folder, "cert"), key: join(folder, "key") },
      pollMs: POLL_MS,
      metrics,
    })._unsafeUnwrap();
    front = new CallerFront({
      listen: { host: "127.0.0.1", port: 0 },
      isReady: () => true,
      tls: files,
    });
    await front.start({ post: () => {} });
  });

  afterEach(async () => {
    await front.close();
    rmSync(folder, { recursive: true });
  });

  function replaceFiles(cert: string, key: string): void {
    copyFileSync(dataFile(cert), join(folder, "cert"));
    copyFileSync(dataFile(key), join(folder, "key"));
  }

  /** Returns the serial number of the certificate on a new connection. */
  async function shownSerial(): Promise<string> {
    const socket = await new Promise<TLSSocket>((resolve, reject) => {
      const opened = connect(
        { host: "127.0.0.1", port: front.port, ca: CA },
        () => resolve(opened),
      );
      opened.once("error", reject);
    });
    const { serialNumber } = socket.getPeerCertificate();
    socket.destroy();
    return serialNumber;
  }

  async function until(condition: () => boolean): Promise<void> {
    const end = performance.now() + WAIT_LIMIT_MS;
    while (!condition() && performance.now() < end) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
    expect(condition()).to.equal(true);
  }

  for (const { name, cert, key, shown, counter } of RELOAD_CASES) {
    it(name, async () => {
      const open = new Client(`https://127.0.0.1:${front.port}`, {
        connect: { ca: CA },
      });
      await (await open.request({ method: "GET", path: "/healthz" })).body
        .dump();
      replaceFiles(cert, key);
      await until(() => metrics.counter(counter) > 0);
      const expected = new X509Certificate(readFileSync(dataFile(shown)));
      expect(await shownSerial()).to.equal(expected.serialNumber);
      const res = await open.request({ method: "GET", path: "/healthz" });
      expect(res.statusCode).to.equal(200);
      await res.body.dump();
      await open.close();
    });
  }
});

const SETTING_CASES: readonly {
  readonly name: string;
  readonly cert?: string;
  readonly key?: string;
  readonly ca?: string;
  readonly isMutual?: boolean;
  /** Pattern of the error message; undefined if the settings are valid. */
  readonly message?: RegExp;
}[] = [
  { name: "settings without any file" },
  { name: "certificate and key", cert: "a.pem", key: "a.key" },
  {
    name: "a certificate alone",
    cert: "a.pem",
    message: /^--tls-cert, --tls-key are given together or not at all$/,
  },
  {
    name: "mutual TLS without a certificate authority",
    cert: "a.pem",
    key: "a.key",
    isMutual: true,
    message: /^--tls-cert, --tls-key, --tls-ca are given together/,
  },
  {
    name: "a file that does not exist",
    cert: "none.pem",
    key: "a.key",
    message: /^--tls-cert: Certificate or key can't be used: ENOENT/,
  },
  {
    name: "a key of another certificate",
    cert: "a.pem",
    key: "b.key",
    message: /^--tls-cert: Certificate or key can't be used: .*mismatch/,
  },
];

describe("TLS settings", () => {
  for (const { name, message, isMutual, ...names } of SETTING_CASES) {
    it(`${message ? "reject" : "accept"} ${name}`, () => {
      const { cert, key, ca } = names;
      const result = tlsFromSettings({
        cert: cert && dataFile(cert),
        key: key && dataFile(key),
        ca: ca && dataFile(ca),
        isMutual,
        flag: "--tls",
      });
      if (message === undefined) {
        expect(result.isOk()).to.equal(true);
      } else {
        expect(result._unsafeUnwrapErr().message).to.match(message);
      }
    });
  }
});

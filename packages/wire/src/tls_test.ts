import { copyFileSync, mkdtempSync, rmSync } from "node:fs";
import { connect as connectHttp2 } from "node:http2";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { openTlsFiles, type TlsFiles } from "@mustardweir/runtime";
import { expect } from "chai";
import { TestNode, waitUntil } from "./test_nodes.ts";

const DATA = new URL("../../runtime/testdata/tls/", import.meta.url);
const POLL_MS = 10;

/** Base name of the certificate's files; undefined without TLS. */
type Certificate = "a" | "b" | "b-renewed" | "stranger" | undefined;

function dataFile(name: string): string {
  return fileURLToPath(new URL(name, DATA));
}

function openCertificate(name: Certificate, ca = "ca"): TlsFiles | undefined {
  return name && openTlsFiles({
    paths: {
      cert: dataFile(`${name}.pem`),
      key: dataFile(`${name}.key`),
      ca: dataFile(`${ca}.pem`),
    },
  })._unsafeUnwrap();
}

interface TlsCase {
  readonly name: string;
  /** Certificate of node a, which dials. */
  readonly dialerCertificate: Certificate;
  /** CA that node a trusts. */
  readonly dialerTrusts?: string;
  /** Certificate of node b, which accepts the link. */
  readonly acceptorCertificate: Certificate;
  readonly isLinked: boolean;
}

const TLS_CASES: readonly TlsCase[] = [
  {
    name: "two nodes with certificates of one CA",
    dialerCertificate: "a",
    acceptorCertificate: "b",
    isLinked: true,
  },
  {
    name: "an acceptor with a certificate of another CA",
    dialerCertificate: "a",
    acceptorCertificate: "stranger",
    isLinked: false,
  },
  {
    name: "a dialer with a certificate of another CA",
    dialerCertificate: "stranger",
    acceptorCertificate: "b",
    isLinked: false,
  },
  {
    name: "an acceptor with the certificate of another node",
    dialerCertificate: "a",
    acceptorCertificate: "a",
    isLinked: false,
  },
  {
    name: "a dialer with the certificate of another node",
    dialerCertificate: "b",
    acceptorCertificate: "b",
    isLinked: false,
  },
  {
    name: "a dialer without TLS",
    dialerCertificate: undefined,
    acceptorCertificate: "b",
    isLinked: false,
  },
  {
    name: "an acceptor without TLS",
    dialerCertificate: "a",
    acceptorCertificate: undefined,
    isLinked: false,
  },
];

describe("TLS on links", () => {
  let nodes: TestNode[];

  beforeEach(() => {
    nodes = [];
  });

  afterEach(() => Promise.all(nodes.map((node) => node.links.close())));

  async function start(nodeId: string, tls?: TlsFiles): Promise<TestNode> {
    const node = new TestNode({ nodeId, tls });
    await node.links.start(node);
    nodes.push(node);
    return node;
  }

  for (
    const { name, dialerCertificate, acceptorCertificate, isLinked }
      of TLS_CASES
  ) {
    it(`${isLinked ? "links" : "does not link"} ${name}`, async () => {
      const a = await start("a", openCertificate(dialerCertificate));
      const b = await start("b", openCertificate(acceptorCertificate));
      a.connect([b]);
      a.send("b", [1]);
      const countEndedLinks = () =>
        a.metrics.counter("links-ended-ended") +
        a.metrics.counter("links-ended-wrong-peer");
      await waitUntil(
        "a message arrived or two links were refused",
        () => b.received.length > 0 || countEndedLinks() > 1,
      );
      expect(b.received.length).to.equal(isLinked ? 1 : 0);
      expect(b.links.livePeers).to.deep.equal(isLinked ? ["a"] : []);
    });
  }

  it("uses renewed certificates without a restart", async () => {
    const folder = mkdtempSync(join(tmpdir(), "mustardweir-links-"));
    const installCertificate = (name: string) => {
      copyFileSync(dataFile(`${name}.pem`), join(folder, "cert"));
      copyFileSync(dataFile(`${name}.key`), join(folder, "key"));
    };
    installCertificate("stranger");
    const files = openTlsFiles({
      paths: {
        cert: join(folder, "cert"),
        key: join(folder, "key"),
        ca: dataFile("ca.pem"),
      },
      pollMs: POLL_MS,
    })._unsafeUnwrap();
    const a = await start("a", openCertificate("a"));
    const b = await start("b", files);
    a.connect([b]);
    await waitUntil(
      "the certificate of the other CA is refused",
      () => a.metrics.counter("links-ended-ended") > 0,
    );
    installCertificate("b-renewed");
    a.send("b", [1]);
    await waitUntil(
      "the renewed certificate is accepted",
      () => b.links.livePeers.includes("a"),
    );
    a.send("b", [2]);
    await waitUntil("messages arrive", () => b.receivedNumbers.includes(2));
    rmSync(folder, { recursive: true });
  });

  it("does not respond to a client without a certificate", async () => {
    const b = await start("b", openCertificate("b"));
    const session = connectHttp2(`https://127.0.0.1:${b.links.port}`, {
      rejectUnauthorized: false,
    });
    const outcome = await new Promise<string>((resolve) => {
      session.once("error", () => resolve("refused"));
      session.once("close", () => resolve("refused"));
      const req = session.request({ ":path": "/" });
      req.once("error", () => resolve("refused"));
      req.once("response", () => resolve("answered"));
    });
    session.destroy();
    expect(outcome).to.equal("refused");
  });
});

import { copyFileSync, mkdtempSync, rmSync } from "node:fs";
import { connect as connectHttp2 } from "node:http2";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { openTlsFiles, type TlsFiles } from "@mustardweir/runtime";
import { expect } from "chai";
import { eventually, TestNode } from "./test_nodes.ts";

const DATA = new URL("../../runtime/testdata/tls/", import.meta.url);
const POLL_MS = 10;

/** The files of a certificate, or none for plain connections. */
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
  /** What the dialling node a shows, and what it trusts. */
  readonly dialler: Certificate;
  readonly diallerTrusts?: string;
  /** What the node b that takes the link shows. */
  readonly acceptor: Certificate;
  readonly isLinked: boolean;
}

const TLS_CASES: readonly TlsCase[] = [
  {
    name: "both of one authority",
    dialler: "a",
    acceptor: "b",
    isLinked: true,
  },
  {
    name: "an acceptor of another authority",
    dialler: "a",
    acceptor: "stranger",
    isLinked: false,
  },
  {
    name: "a dialler of another authority",
    dialler: "stranger",
    acceptor: "b",
    isLinked: false,
  },
  {
    name: "an acceptor that shows another node's certificate",
    dialler: "a",
    acceptor: "a",
    isLinked: false,
  },
  {
    name: "a dialler that shows another node's certificate",
    dialler: "b",
    acceptor: "b",
    isLinked: false,
  },
  {
    name: "a plain dialler",
    dialler: undefined,
    acceptor: "b",
    isLinked: false,
  },
  {
    name: "a plain acceptor",
    dialler: "a",
    acceptor: undefined,
    isLinked: false,
  },
];

describe("TLS of links", () => {
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

  for (const { name, dialler, acceptor, isLinked } of TLS_CASES) {
    it(`${isLinked ? "links" : "does not link"} ${name}`, async () => {
      const a = await start("a", openCertificate(dialler));
      const b = await start("b", openCertificate(acceptor));
      a.connect([b]);
      a.send("b", [1]);
      const ended = () =>
        a.metrics.counter("links-ended-ended") +
        a.metrics.counter("links-ended-wrong-peer");
      await eventually(
        "the first links came to something",
        () => b.received.length > 0 || ended() > 1,
      );
      expect(b.received.length).to.equal(isLinked ? 1 : 0);
      expect(b.links.livePeers).to.deep.equal(isLinked ? ["a"] : []);
    });
  }

  it("takes renewed certificates without a restart", async () => {
    const folder = mkdtempSync(join(tmpdir(), "mustardweir-links-"));
    const put = (name: string) => {
      copyFileSync(dataFile(`${name}.pem`), join(folder, "cert"));
      copyFileSync(dataFile(`${name}.key`), join(folder, "key"));
    };
    put("stranger");
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
    await eventually(
      "the stranger was refused",
      () => a.metrics.counter("links-ended-ended") > 0,
    );
    put("b-renewed");
    a.send("b", [1]);
    await eventually(
      "the renewed one links",
      () => b.links.livePeers.includes("a"),
    );
    a.send("b", [2]);
    await eventually("messages arrive", () => b.numbers.includes(2));
    rmSync(folder, { recursive: true });
  });

  it("shows nothing to a caller without a certificate", async () => {
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

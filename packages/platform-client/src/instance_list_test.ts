import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { StoreStatus } from "@mustardweir/protocol";
import { expect } from "chai";
import { PlatformConnection } from "./connection.ts";
import { HttpInstanceList } from "./instance_list.ts";

const GOOD = {
  nodeId: "s1",
  role: "scheduler",
  address: "10.0.0.1:80",
  availabilityZone: "a",
  leaving: false,
};
const NESTED = `${"[".repeat(30_000)}${"]".repeat(30_000)}`;

interface ListCase {
  readonly name: string;
  /** The body of the response. */
  readonly body: string;
  readonly expected: unknown;
}

const HELD = { status: StoreStatus.Ok, instances: [GOOD] };

const CASES: readonly ListCase[] = [
  ...[
    "null",
    "7",
    "{}",
    NESTED,
    JSON.stringify({ ...GOOD, leaving: "no" }),
    JSON.stringify({ ...GOOD, address: undefined }),
    JSON.stringify(GOOD).replace('"10.0.0.1:80"', NESTED),
  ].map((odd) => ({
    name: `holds beside the odd entry ${odd.slice(0, 60)}`,
    body: `{"instances":[${odd},${JSON.stringify(GOOD)}]}`,
    expected: HELD,
  })),
  ...["{}", '{"instances":7}', "{"].map((body) => ({
    name: `is unknown if the response is ${body}`,
    body,
    expected: { status: StoreStatus.Unknown },
  })),
];

describe("the list of instances", () => {
  for (const { name, body, expected } of CASES) {
    it(name, async () => {
      const server = createServer((_, res) => res.end(body));
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", () => resolve())
      );
      const { port } = server.address() as AddressInfo;
      const list = new HttpInstanceList(
        new PlatformConnection({ baseUrl: `http://127.0.0.1:${port}` }),
      );
      const result = await list.list();
      await list.close();
      server.close();
      expect(result).to.deep.equal(expected);
    });
  }
});

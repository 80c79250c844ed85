import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { isDeepStrictEqual } from "node:util";
import { inventorySchema, rulesSchema } from "@mustardweir/model";
import { expect } from "chai";
import fc from "fast-check";
import { ExitCode, listDifferences, parseDocuments, runCli } from "./mod.ts";

const SEED = 20_261;
const FILE_RUNS = 1_000;
const RESPONSE_RUNS = 300;

/** Lines with YAML syntax, some of it invalid. */
const yamlLine = fc.constantFrom(
  "teams:",
  "  - name: imaging",
  "    share: 1",
  "  - &a { name: x, share: 1 }",
  "  - *a",
  "  <<: *a",
  "objectives: [{ team: x }]",
  "availabilityZones: !!set {a, b}",
  "? [complex, key]",
  ": value",
  "--- !<tag:yaml.org,2002:binary>",
  "...",
  "\t- tab",
  "__proto__: { polluted: true }",
  "%YAML 9.9",
  "| block",
  "'unclosed",
);

const fileText = fc.oneof(
  fc.string({ unit: "binary", maxLength: 200 }),
  fc.json({ maxDepth: 5 }),
  fc.array(yamlLine, { maxLength: 12 }).map((lines) => lines.join("\n")),
);

describe("Malformed files", () => {
  it("are parsed or rejected with one line that contains file and line", () => {
    fc.assert(
      fc.property(fileText, (text) => {
        const checked = parseDocuments(text, "f.yaml").andThen(
          ([source]) =>
            source === undefined
              ? parseDocuments("{}", "f.yaml")
              : source.check<unknown>(inventorySchema)
                .orElse(() => source.check<unknown>(rulesSchema)),
        );
        if (checked.isErr()) {
          const { message, exitCode } = checked.error;
          expect(message).to.match(/^f\.yaml(:\d+)?: ./);
          expect(message).not.to.include("\n");
          expect(exitCode).to.equal(ExitCode.Usage);
        }
      }),
      { seed: SEED, numRuns: FILE_RUNS },
    );
    expect(({} as { polluted?: boolean }).polluted).to.equal(undefined);
  });

  it("have no differences from themselves", () => {
    fc.assert(
      fc.property(fc.jsonValue(), (value) => {
        expect(listDifferences(value, value, "f")).to.deep.equal([]);
      }),
      { seed: SEED, numRuns: FILE_RUNS },
    );
  });

  it("have differences from files with other values", () => {
    const fields = fc.dictionary(fc.string(), fc.integer());
    fc.assert(
      fc.property(fields, fields, (before, after) => {
        const isSame = isDeepStrictEqual(before, after);
        const differences = listDifferences(before, after, "f");
        expect(differences.length === 0).to.equal(isSame);
      }),
      { seed: SEED, numRuns: FILE_RUNS },
    );
  });
});

/** Responses of a server that is not an entry. */
const response = fc.record({
  status: fc.constantFrom(200, 200, 202, 302, 400, 412, 500),
  body: fc.oneof(
    fc.string(),
    fc.json({ maxDepth: 4 }),
    fc.record({
      teams: fc.anything({ maxDepth: 2 }),
      schedulers: fc.array(fc.object({ maxDepth: 1 }), { maxLength: 2 }),
      availabilityZones: fc.array(fc.object({ maxDepth: 1 }), { maxLength: 2 }),
      series: fc.array(fc.object({ maxDepth: 1 }), { maxLength: 2 }),
      keys: fc.oneof(fc.constant(null), fc.array(fc.object())),
      asOf: fc.string(),
    }).map((body) => JSON.stringify(body) ?? ""),
  ),
});

const COMMANDS: readonly (readonly string[])[] = [
  ["teams"],
  ["status"],
  ["status", "a.1"],
  ["jobs"],
  ["explain", "a.1"],
  ["keys", "list"],
  ["report", "burn"],
  ["report", "burn", "--format", "html"],
  ["top", "--count", "1"],
];

describe("Malformed responses to the command line", () => {
  let server: Server;
  let next = { status: 200, body: "" };

  before(async () => {
    server = createServer((req, res) => {
      req.resume();
      res.writeHead(next.status).end(next.body);
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
  });

  after(() => {
    server.closeAllConnections();
    server.close();
  });

  for (const argv of COMMANDS) {
    it(`end ${argv.join(" ")} with an exit code and at most one error line`, async () => {
      const { port } = server.address() as AddressInfo;
      await fc.assert(
        fc.asyncProperty(response, async (malformed) => {
          next = malformed;
          const errors: string[] = [];
          const exitCode = await runCli({
            argv,
            env: {
              MUSTARDWEIR_ENTRY: `http://127.0.0.1:${port}`,
              MUSTARDWEIR_KEY: "k",
            },
            print: () => {},
            printError: (line) => errors.push(line),
          });
          expect(exitCode).to.be.oneOf(Object.values(ExitCode));
          expect(errors.length).to.equal(exitCode === ExitCode.Ok ? 0 : 1);
        }),
        { seed: SEED, numRuns: Math.ceil(RESPONSE_RUNS / COMMANDS.length) },
      );
    });
  }
});

import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { expect } from "chai";
import { ExitCode, runCli } from "./mod.ts";

const ROOT = new URL("../../../", import.meta.url);
const PAGE = "docs/OPERATIONS.md";

/** A command on the page and the output printed below it. */
interface Example {
  readonly line: string;
  readonly output: string;
}

const EXAMPLES: readonly Example[] = [
  ...readFileSync(new URL(PAGE, ROOT), "utf8").matchAll(
    /```sh kept\nmustardweir (.+)\n```\n\n```text\n([\s\S]*?)\n```/g,
  ),
].map(([, line = "", output = ""]) => ({ line, output }));

describe(PAGE, () => {
  it("has an example for each kind of failed request", () => {
    expect(EXAMPLES).to.have.length(4);
  });

  for (const { line, output } of EXAMPLES) {
    it(`shows the output of "${line}"`, async () => {
      const printed: string[] = [];
      const argv = line.split(" ").map((word) =>
        word.startsWith("docs/") ? fileURLToPath(new URL(word, ROOT)) : word
      );
      const exitCode = await runCli({
        argv,
        print: (text) => printed.push(text),
        printError: (text) => printed.push(text),
        isTerminal: false,
        onInterrupt: () => () => {},
      });
      expect(exitCode).to.equal(ExitCode.Ok);
      expect(printed.join("\n")).to.equal(output);
    });
  }
});

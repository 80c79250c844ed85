// Skips the tests listed in KNOWN-RED.txt and prints their titles. An entry of
// the file is a line `test: <full title>`, followed by indented lines
// `command:`, `seen:` and `issue:`.
import { existsSync, readFileSync } from "node:fs";

const FILE = new URL("../KNOWN-RED.txt", import.meta.url);

function readTitles() {
  const text = existsSync(FILE) ? readFileSync(FILE, "utf8") : "";
  return new Set(
    text.split("\n").flatMap((line) => line.match(/^test: (.+)$/)?.[1] ?? []),
  );
}

const titles = readTitles();

export const mochaHooks = {
  beforeEach() {
    const title = this.currentTest.fullTitle();
    if (titles.has(title)) {
      console.log(`    KNOWN RED, skipped: ${title}`);
      this.skip();
    }
  },
};

import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { LineWriter } from "./line_writer.ts";

const CASES = [
  { name: "within the limits", lines: 5, perSecond: 10, bytes: 1_000, kept: 5 },
  {
    name: "above the lines per second",
    lines: 25,
    perSecond: 10,
    bytes: 1_000,
    kept: 10,
  },
  { name: "above the memory", lines: 25, perSecond: 99, bytes: 40, kept: 10 },
];

const ADMISSIONS = [
  { name: "within the limit", lines: 5, perSecond: 10, kept: 5 },
  { name: "above the limit", lines: 25, perSecond: 10, kept: 10 },
];

describe("LineWriter", () => {
  for (const { name, lines, perSecond, bytes, kept } of CASES) {
    it(`writes lines up to the limit and counts those dropped: ${name}`, () => {
      const folder = mkdtempSync(join(tmpdir(), "lines-"));
      const path = join(folder, "out");
      const descriptor = openSync(path, "w");
      const droppedCounts: number[] = [];
      let now = 5_000;
      const writer = new LineWriter({
        descriptor,
        maxLinesPerSecond: perSecond,
        maxPendingBytes: bytes,
        onLinesDropped: (count) => droppedCounts.push(count),
        now: () => now,
      });
      for (let index = 0; index < lines; index++) {
        writer.write("abc\n");
      }
      writer.flush();
      now += 1_000;
      writer.write("end\n");
      writer.flush();
      expect(readFileSync(path, "utf8")).to.equal(
        `${"abc\n".repeat(kept)}end\n`,
      );
      expect(droppedCounts).to.deep.equal(kept < lines ? [lines - kept] : []);
      closeSync(descriptor);
      rmSync(folder, { recursive: true });
    });
  }

  for (const { name, lines, perSecond, kept } of ADMISSIONS) {
    it(`admits lines before they are built: ${name}`, () => {
      const writer = new LineWriter({
        maxLinesPerSecond: perSecond,
        now: () => 5_000,
      });
      let admitted = 0;
      for (let index = 0; index < lines; index++) {
        if (writer.admit()) {
          admitted++;
          writer.write("", true);
        }
      }
      expect(admitted).to.equal(kept);
    });
  }

  it("writes urgent lines above the limit", () => {
    const folder = mkdtempSync(join(tmpdir(), "lines-"));
    const path = join(folder, "out");
    const descriptor = openSync(path, "w");
    const writer = new LineWriter({ descriptor, maxLinesPerSecond: 0 });
    writer.write("lost\n");
    writer.write("kept\n", true);
    writer.flush();
    expect(readFileSync(path, "utf8")).to.equal("kept\n");
    closeSync(descriptor);
    rmSync(folder, { recursive: true });
  });
});

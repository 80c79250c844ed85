import type { Resources } from "@mustardweir/model";
import type { TeamUsage } from "@mustardweir/protocol";
import { expect } from "chai";
import { mergeUsage } from "./usage.ts";

interface UsageCase {
  readonly name: string;
  readonly parts: readonly TeamUsage[];
  readonly joined: readonly TeamUsage[];
}

const NONE = size(0);

const CASES: readonly UsageCase[] = [
  { name: "no parts", parts: [], joined: [] },
  {
    name: "a team without usage and waiting work",
    parts: [{ team: "a", used: NONE }, { team: "a", used: NONE, waiting: 0 }],
    joined: [],
  },
  {
    name: "a team that only waits",
    parts: [{ team: "a", used: NONE, waiting: 2 }],
    joined: [{ team: "a", used: NONE, waiting: 2 }],
  },
  {
    name: "a team that uses and waits",
    parts: [
      { team: "a", used: size(2) },
      { team: "b", used: size(1) },
      { team: "a", used: NONE, waiting: 3 },
      { team: "a", used: size(1) },
    ],
    joined: [
      { team: "a", used: size(3), waiting: 3 },
      { team: "b", used: size(1) },
    ],
  },
];

function size(cpu: number): Resources {
  return { cpuMillis: cpu, memoryMb: cpu, accelerators: 0, slots: cpu };
}

describe("usage in heartbeats", () => {
  for (const { name, parts, joined } of CASES) {
    it(`merges ${name}`, () => {
      expect(mergeUsage(parts)).to.deep.equal(joined);
    });
  }
});

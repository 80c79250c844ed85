import { type Ceiling, jobSpecSchema, taskSize } from "@mustardweir/model";
import { expect } from "chai";
import { findCeilingInfeasibility } from "./ceiling_feasibility.ts";

const FEASIBILITY_CASES: readonly {
  readonly name: string;
  readonly kind: string;
  readonly ceiling: Ceiling;
  readonly infeasibility: RegExp | undefined;
}[] = [
  {
    name: "a gang without a ceiling",
    kind: "gang",
    ceiling: {},
    infeasibility: undefined,
  },
  {
    name: "a batch of which one task fits",
    kind: "batch",
    ceiling: { cpu: 2 },
    infeasibility: undefined,
  },
  {
    name: "a gang as large as the ceiling",
    kind: "gang",
    ceiling: { cpu: 6, tasks: 3 },
    infeasibility: undefined,
  },
  {
    name: "a gang above the ceiling",
    kind: "gang",
    ceiling: { tasks: 2 },
    infeasibility: /the gang needs more/,
  },
  {
    name: "a task above the ceiling",
    kind: "batch",
    ceiling: { memoryMb: 1 },
    infeasibility: /one task needs more/,
  },
];

describe("Feasibility of a waiting job under a ceiling", () => {
  for (const { name, kind, ceiling, infeasibility } of FEASIBILITY_CASES) {
    it(`${infeasibility ? "rejects" : "accepts"} ${name}`, () => {
      const spec = jobSpecSchema.parse({ kind, cpu: 2, memoryMb: 9, tasks: 3 });
      const found = findCeilingInfeasibility(
        { spec, size: taskSize(spec) },
        ceiling,
      );
      expect(found ?? "").to.match(infeasibility ?? /^$/);
    });
  }
});

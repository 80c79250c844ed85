import { type Ceiling, jobSpecSchema, taskSize } from "@mustardweir/model";
import { expect } from "chai";
import { findCeilingObstacle } from "./obstacle.ts";

const OBSTACLE_CASES: readonly {
  readonly name: string;
  readonly kind: string;
  readonly ceiling: Ceiling;
  readonly obstacle: RegExp | undefined;
}[] = [
  { name: "no ceiling", kind: "gang", ceiling: {}, obstacle: undefined },
  {
    name: "a batch of which one task fits",
    kind: "batch",
    ceiling: { cpu: 2 },
    obstacle: undefined,
  },
  {
    name: "a gang as large as the ceiling",
    kind: "gang",
    ceiling: { cpu: 6, tasks: 3 },
    obstacle: undefined,
  },
  {
    name: "a gang above the ceiling",
    kind: "gang",
    ceiling: { tasks: 2 },
    obstacle: /the gang needs more/,
  },
  {
    name: "a task above the ceiling",
    kind: "batch",
    ceiling: { memoryMb: 1 },
    obstacle: /one task needs more/,
  },
];

describe("Obstacles of a waiting job", () => {
  for (const { name, kind, ceiling, obstacle } of OBSTACLE_CASES) {
    it(`${obstacle ? "are" : "are not"} found in ${name}`, () => {
      const spec = jobSpecSchema.parse({ kind, cpu: 2, memoryMb: 9, tasks: 3 });
      const found = findCeilingObstacle(
        { spec, size: taskSize(spec) },
        ceiling,
      );
      expect(found ?? "").to.match(obstacle ?? /^$/);
    });
  }
});

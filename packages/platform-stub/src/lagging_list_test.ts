import { expect } from "chai";
import { LaggingList } from "./mod.ts";

interface LagCase {
  readonly name: string;
  /** Items by the time at which they are put; undefined removes the item. */
  readonly changes: Readonly<Record<number, string | undefined>>;
  readonly readAt: number;
  readonly seen: readonly string[];
}

const LAG_CASES: readonly LagCase[] = [
  {
    name: "hides a change until the lag has passed",
    changes: { 10: "a1" },
    readAt: 109,
    seen: [],
  },
  {
    name: "shows a change when the lag has passed",
    changes: { 10: "a1" },
    readAt: 110,
    seen: ["a1"],
  },
  {
    name: "shows the old item while its change is hidden",
    changes: { 0: "a1", 50: "a2" },
    readAt: 149,
    seen: ["a1"],
  },
  {
    name: "shows a removed item until the lag has passed",
    changes: { 0: "a1", 50: undefined },
    readAt: 149,
    seen: ["a1"],
  },
  {
    name: "hides a removed item when the lag has passed",
    changes: { 0: "a1", 50: undefined },
    readAt: 150,
    seen: [],
  },
];

describe("LaggingList", () => {
  for (const { name, changes, readAt, seen } of LAG_CASES) {
    it(name, () => {
      const list = new LaggingList<string>({ lagMs: 100 });
      for (const [at, item] of Object.entries(changes)) {
        const now = Number(at);
        if (item === undefined) {
          list.remove("a", { now });
        } else {
          list.put("a", { item, now });
        }
      }
      expect(list.read(readAt)).to.deep.equal(seen);
    });
  }
});

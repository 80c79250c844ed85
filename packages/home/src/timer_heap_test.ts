import { expect } from "chai";
import { TimerHeap } from "./timer_heap.ts";

interface HeapCase {
  readonly name: string;
  readonly times: readonly number[];
  readonly now: number;
  readonly due: readonly number[];
}

const HEAP_CASES: readonly HeapCase[] = [
  {
    name: "returns due items, soonest first",
    times: [5, 1, 4, 2, 3],
    now: 3,
    due: [1, 2, 3],
  },
  { name: "returns no item before it is due", times: [5], now: 4, due: [] },
  {
    name: "keeps all items that are due at the same time",
    times: [2, 2, 1, 2],
    now: 2,
    due: [1, 2, 2, 2],
  },
  {
    name: "ignores an item that is never due",
    times: [Infinity],
    now: 9,
    due: [],
  },
];

describe("TimerHeap", () => {
  for (const { name, times, now, due } of HEAP_CASES) {
    it(name, () => {
      const heap = new TimerHeap<number>();
      times.forEach((at) => heap.push(at, at));
      expect(heap.takeDue(now)).to.deep.equal(due);
      const left = times.filter((at) => at > now && at < Infinity);
      expect(heap.size).to.equal(left.length);
      heap.retain((at) => at % 2 === 0);
      expect(heap.takeDue(Number.MAX_VALUE)).to.deep.equal(
        left.filter((at) => at % 2 === 0).sort((a, b) => a - b),
      );
    });
  }
});

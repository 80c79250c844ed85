import { expect } from "chai";
import fc from "fast-check";
import { EventQueue } from "./event_queue.ts";

const SEED = 3;

describe("EventQueue", () => {
  it("returns items in order of time", () => {
    const times = fc.array(fc.integer({ min: 0, max: 50 }));
    const check = fc.property(times, (pushed) => {
      const queue = new EventQueue<number>();
      for (const time of pushed) {
        queue.push(time, time);
      }
      const popped = pushed.map(() => queue.pop());
      expect(popped).to.deep.equal([...pushed].sort((a, b) => a - b));
      expect(queue.nextTime).to.equal(Infinity);
    });
    fc.assert(check, { seed: SEED });
  });
});

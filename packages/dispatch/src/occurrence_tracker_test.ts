import { expect } from "chai";
import {
  type OccurrenceOptions,
  OccurrenceTracker,
} from "./occurrence_tracker.ts";

interface TrackerCase {
  readonly name: string;
  readonly options: OccurrenceOptions;
  /** What happens before the occurrences are taken; nothing by default. */
  readonly prepare?: (tracker: OccurrenceTracker) => void;
  readonly due: number;
  /** Occurrences that are taken, in order. */
  readonly taken: readonly number[];
  readonly settled: number;
}

const CASES: readonly TrackerCase[] = [
  {
    name: "a new job takes what is due in order",
    options: { total: 5 },
    due: 3,
    taken: [0, 1, 2],
    settled: 0,
  },
  {
    name: "no more are due than there are",
    options: { total: 2 },
    due: 9,
    taken: [0, 1],
    settled: 0,
  },
  {
    name: "what is settled or done is not taken again",
    options: { total: 9, settled: 3, done: [3, 5] },
    due: 7,
    taken: [4, 6],
    settled: 4,
  },
  {
    name: "what has recorded progress comes first, due or not",
    options: { total: 9, done: [1], recorded: [2, 6] },
    due: 4,
    taken: [2, 6, 0, 3],
    settled: 0,
  },
  {
    name: "what a worker reported is not taken again",
    options: { total: 5 },
    prepare: (tracker) => tracker.open(1),
    due: 3,
    taken: [0, 2],
    settled: 0,
  },
  {
    name: "what was done out of order settles once the rest is done",
    options: { total: 5 },
    prepare: (tracker) =>
      [2, 1, 0].forEach((occurrence) => {
        tracker.open(occurrence);
        tracker.finish(occurrence);
      }),
    due: 4,
    taken: [3],
    settled: 3,
  },
  {
    name: "a job all of whose occurrences are recorded as done is settled",
    options: { total: 3, settled: 1, done: [1, 2] },
    due: 3,
    taken: [],
    settled: 3,
  },
  {
    name: "a clock that goes back takes nothing away",
    options: { total: 5 },
    prepare: (tracker) => tracker.raiseDue(3),
    due: 1,
    taken: [0, 1, 2],
    settled: 0,
  },
];

function takeAll(tracker: OccurrenceTracker): number[] {
  const taken: number[] = [];
  for (;;) {
    const next = tracker.takeRecorded() ?? tracker.takeDue();
    if (next === undefined) {
      return taken;
    }
    tracker.open(next);
    taken.push(next);
  }
}

// Guards against occurrences that run twice or never because they are opened in
// parts, and by a worker's report as well as by the time of day.
describe("occurrences of a job", () => {
  for (const { name, options, prepare, due, taken, settled } of CASES) {
    it(`are tracked when ${name}`, () => {
      const tracker = new OccurrenceTracker(options);
      prepare?.(tracker);
      tracker.raiseDue(due);
      expect(tracker.unopened).to.equal(taken.length);
      expect(takeAll(tracker)).to.deep.equal(taken);
      expect(tracker.unopened).to.equal(0);
      expect(tracker.settled).to.equal(settled);
    });
  }
});

import { createCommand, Random } from "@mustardweir/kernel";
import {
  EffectKind,
  replyTo,
  Source,
  type SourceResult,
  SourceResultKind,
} from "@mustardweir/protocol";
import { expect } from "chai";
import { VirtualClock } from "../simulation/virtual_clock.ts";
import { DomainStore } from "./domain_store.ts";

const IGNORED = createCommand<never>("ignored");

interface HistoryCase {
  readonly name: string;
  /** When the history is dropped after the call, in milliseconds. */
  readonly droppedMs: number;
  /** When a change comes after the call, in milliseconds. */
  readonly changedMs: number;
  readonly result: SourceResultKind;
}

const CASES: readonly HistoryCase[] = [
  {
    name: "before a change",
    droppedMs: 10,
    changedMs: 20,
    result: SourceResultKind.HistoryLost,
  },
  {
    name: "before the reply with a change",
    droppedMs: 22,
    changedMs: 20,
    result: SourceResultKind.HistoryLost,
  },
  {
    name: "after the reply with a change",
    droppedMs: 30,
    changedMs: 20,
    result: SourceResultKind.Read,
  },
];

describe("a history that is dropped while a call follows it", () => {
  for (const { name, droppedMs, changedMs, result } of CASES) {
    it(`${name} gives ${result}`, () => {
      const clock = new VirtualClock();
      const store = new DomainStore(clock, new Random(1));
      store.setDrained("zone-0", true);
      const answers: SourceResult[] = [];
      store.follow(
        {
          kind: EffectKind.FollowSource,
          source: Source.Operator,
          afterVersion: 1,
          waitMs: 100,
          timeoutMs: 200,
          replyTo: replyTo(IGNORED, null),
        },
        "n0",
        (answer) => answers.push(answer),
      );
      clock.after(changedMs, () => store.setDrained("zone-1", true));
      clock.after(droppedMs, () => {
        store.setDrained("zone-2", true);
        store.compactHistory();
      });
      clock.runUntil(clock.now + 1_000);
      expect(answers.map(({ kind }) => kind)).to.deep.equal([result]);
    });
  }
});

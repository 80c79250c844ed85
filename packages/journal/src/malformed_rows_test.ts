import { createPlugins, Kernel, Role } from "@mustardweir/kernel";
import { OWNERSHIP } from "@mustardweir/membership";
import {
  createEffectReply,
  EffectKind,
  NODE_IDENTITY,
  type NodeEffect,
  type ReplyTo,
  type ScanResult,
  StoreStatus,
} from "@mustardweir/protocol";
import { expect } from "chai";
import { JOURNAL_OPENED, OPEN_JOURNAL } from "./mod.ts";
import { JournalRecordKind } from "./records.ts";

const RECORDS = JSON.stringify([
  { kind: JournalRecordKind.Cancelled, jobId: "j1" },
]);
const OWNER = JSON.stringify({ owner: "s2", epoch: 3, successors: [] });

interface RowCase {
  readonly name: string;
  readonly value: string;
  readonly isReadable: boolean;
}

const JOURNAL_CASES: readonly RowCase[] = [
  { name: "good", value: RECORDS, isReadable: true },
  { name: "cut off", value: RECORDS.slice(0, 20), isReadable: false },
  { name: "empty", value: "", isReadable: false },
  { name: "of another type", value: '"text"', isReadable: false },
];

const OWNERSHIP_CASES: readonly RowCase[] = [
  { name: "good", value: OWNER, isReadable: true },
  { name: "cut off", value: OWNER.slice(0, 20), isReadable: false },
  { name: "null", value: "null", isReadable: false },
  { name: "without an epoch", value: '{"owner":"s2"}', isReadable: false },
];

function createKernel(): Kernel {
  const kernel = new Kernel({ plugins: createPlugins(Role.Scheduler) });
  kernel.registerService(NODE_IDENTITY, {
    nodeId: "s1",
    role: Role.Scheduler,
    incarnation: "s1-1",
    availabilityZone: "a",
    seedPeers: [],
  });
  return kernel;
}

/** Answers the scan of a prefix among the effects with one row. */
function answerScan(
  kernel: Kernel,
  effects: readonly NodeEffect[],
  { prefix, key, value }: Readonly<Record<"prefix" | "key" | "value", string>>,
): readonly NodeEffect[] {
  const scan = effects.find((effect) =>
    effect.kind === EffectKind.ScanTable && effect.prefix.startsWith(prefix)
  );
  const { replyTo } = scan as { readonly replyTo: ReplyTo<ScanResult> };
  const result: ScanResult = {
    status: StoreStatus.Ok,
    page: {
      rows: [{ key: `${prefix}${key}`, value, version: 1 }],
      deleted: [],
      revision: 1,
    },
  };
  return kernel.run(
    replyTo.command,
    createEffectReply(replyTo, result),
    1,
  ) as readonly NodeEffect[];
}

function loggedMessages(effects: readonly NodeEffect[]): string[] {
  return effects.flatMap((effect) =>
    effect.kind === EffectKind.LogChange ? [effect.message] : []
  );
}

describe("stored rows of the scheduler", () => {
  for (const { name, value, isReadable } of JOURNAL_CASES) {
    const verb = isReadable ? "open" : "keep closed";
    it(`${verb} a home with a journal row that is ${name}`, () => {
      const kernel = createKernel();
      let isOpened = false;
      kernel.registerCommand(JOURNAL_OPENED, () => {
        isOpened = true;
      }, 0);
      const effects = kernel.run(OPEN_JOURNAL, {
        team: "blue",
        epoch: 1,
        ownershipVersion: 1,
      }, 0);
      const replied = answerScan(kernel, effects as readonly NodeEffect[], {
        prefix: "journal/blue/",
        key: "0001",
        value,
      });
      expect(isOpened).to.equal(isReadable);
      expect(loggedMessages(replied).includes("Journal row can't be read"))
        .to.equal(!isReadable);
    });
  }

  for (const { name, value, isReadable } of OWNERSHIP_CASES) {
    it(`are ${isReadable ? "" : "not "}applied with an owner ${name}`, () => {
      const kernel = createKernel();
      const replied = answerScan(
        kernel,
        kernel.advance(0) as readonly NodeEffect[],
        { prefix: "owner/", key: "home/blue", value },
      );
      expect(kernel.read(OWNERSHIP).rows.has("home/blue")).to.equal(isReadable);
      expect(
        loggedMessages(replied).includes("Ownership row can't be read"),
      ).to.equal(!isReadable);
    });
  }
});

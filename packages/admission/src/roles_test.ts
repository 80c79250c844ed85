import { COLLECT_BURN, type CollectRequest } from "@mustardweir/burn";
import { SectionPatchKind } from "@mustardweir/configuration";
import { type Command, CommandPriority } from "@mustardweir/kernel";
import {
  ConfigurationSection,
  jobSpecSchema,
  KeyRole,
  Outcome,
  RefusalReason,
  refuse,
} from "@mustardweir/model";
import {
  type CallerCall,
  CallerCallKind,
  type LogChangeEffect,
} from "@mustardweir/protocol";
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { CONFIG, hashOf, TestHarness } from "./harness_test.ts";

const { Operator, Submitter, Viewer } = KeyRole;

const KEYS: Readonly<Record<KeyRole, string>> = {
  [Operator]: "o1",
  [Submitter]: "s1",
  [Viewer]: "v1",
};

const SPEC = jobSpecSchema.parse({
  kind: "batch",
  cpu: 1,
  memoryMb: 64,
  payload: "a secret body",
});

const DRAIN: CallerCall = {
  kind: CallerCallKind.EditConfiguration,
  section: ConfigurationSection.Zones,
  body: {
    patch: SectionPatchKind.SetZone,
    zone: "tx-a",
    state: "draining",
  },
  ifMatch: 1,
};

/** The roles that may make each call. */
const ROLE_CASES: readonly {
  readonly call: CallerCall;
  readonly may: readonly KeyRole[];
}[] = [
  {
    call: { kind: CallerCallKind.Submit, idempotencyKey: "k", spec: SPEC },
    may: [Submitter],
  },
  {
    call: { kind: CallerCallKind.Status, jobId: "storefront.1" },
    may: [Operator, Submitter, Viewer],
  },
  {
    call: { kind: CallerCallKind.Cancel, jobId: "storefront.1" },
    may: [Operator, Submitter],
  },
  {
    call: { kind: CallerCallKind.List, team: "storefront" },
    may: [Operator, Submitter, Viewer],
  },
  { call: { kind: CallerCallKind.ReadConfiguration }, may: [Operator, Viewer] },
  { call: DRAIN, may: [Operator] },
  {
    call: { kind: CallerCallKind.Teams },
    may: [Operator, Submitter, Viewer],
  },
  { call: { kind: CallerCallKind.Fleet }, may: [Operator, Viewer] },
  { call: { kind: CallerCallKind.Burn }, may: [Operator, Submitter, Viewer] },
];

describe("Roles", () => {
  for (const { call, may } of ROLE_CASES) {
    for (const role of Object.values(KeyRole)) {
      const verb = may.includes(role) ? "may" : "may not";
      it(`a ${role} ${verb} ${call.kind}`, () => {
        const harness = new TestHarness();
        harness.request(KEYS[role], call);
        const isRefused = harness.answers.includes(
          `${RefusalReason.NotPermitted} not-run`,
        );
        expect(isRefused).to.equal(!may.includes(role));
      });
    }
  }
});

interface AuditCase {
  readonly name: string;
  readonly section: ConfigurationSection;
  readonly body: unknown;
  readonly change: string;
}

const SECRET_HASH = hashOf("the new key");

const AUDIT_CASES: readonly AuditCase[] = [
  {
    name: "a zone drain",
    section: ConfigurationSection.Zones,
    body: DRAIN.body,
    change: "set-zone tx-a draining",
  },
  {
    name: "a key grant",
    section: ConfigurationSection.Keys,
    body: {
      patch: SectionPatchKind.GrantKey,
      key: { id: "k9", hash: SECRET_HASH, role: Viewer },
    },
    change: "grant-key k9",
  },
  {
    name: "a key withdrawal",
    section: ConfigurationSection.Keys,
    body: { patch: SectionPatchKind.WithdrawKey, id: "v1" },
    change: "withdraw-key v1",
  },
  {
    name: "a replacement of the rules",
    section: ConfigurationSection.Rules,
    body: { ...CONFIG.rules, note: "a secret body" },
    change: "replace rules",
  },
];

describe("Burn reports", () => {
  it("delay a planned stop, and a submitter's covers its own team", () => {
    const harness = new TestHarness();
    const reportRequests: CollectRequest[] = [];
    harness.kernel.registerCommand(
      COLLECT_BURN,
      (request) => void reportRequests.push(request),
      CommandPriority.Normal,
    );
    harness.request("s1", { kind: CallerCallKind.Burn });
    harness.stop();
    harness.advance(200);
    expect([harness.isStopped, reportRequests[0]?.team]).to.deep.equal([
      false,
      "storefront",
    ]);
    const { command, context } = reportRequests[0]!.replyTo;
    harness.run(command as Command<unknown>, { context, result: {} });
    harness.advance(200);
    expect([harness.isStopped, harness.answers]).to.deep.equal([true, [
      "burn",
    ]]);
  });
});

describe("Audit log lines", () => {
  for (const { name, section, body, change } of AUDIT_CASES) {
    it(`record who made ${name}, without secrets or bodies`, () => {
      const harness = new TestHarness();
      const kind = CallerCallKind.EditConfiguration;
      harness.request("o1", { kind, section, body, ifMatch: 1 });
      const { command, context } = harness.edits[0]!.replyTo;
      harness.run(command as Command<unknown>, { context, result: ok(2) });
      harness.request("s1", {
        kind: CallerCallKind.Submit,
        idempotencyKey: "k",
        spec: SPEC,
      });
      const logged = harness.logs.map(({ message, fields }) => ({
        message,
        fields,
      }));
      expect(logged).to.deep.equal([{
        message: "Operator edited configuration",
        fields: { keyId: "o1", section, change, version: 2 },
      }]);
      expectNoSecret(harness.logs);
    });
  }

  it("cover an edit that may have taken effect", () => {
    const harness = new TestHarness();
    harness.request("o1", DRAIN);
    const { command, context } = harness.edits[0]!.replyTo;
    const message = "No answer";
    const outcome = Outcome.Unknown;
    const refusal = refuse(RefusalReason.StoreUnavailable, {
      message,
      outcome,
    });
    harness.run(command as Command<unknown>, { context, result: err(refusal) });
    expect(harness.logs.map((log) => log.message)).to.deep.equal([
      "Operator's edit may be in force",
    ]);
  });
});

function expectNoSecret(logs: readonly LogChangeEffect[]): void {
  const text = JSON.stringify(logs);
  const secrets = ["a secret body", SECRET_HASH, hashOf("o1"), hashOf("s1")];
  for (const secret of secrets) {
    expect(text).not.to.include(secret);
  }
}

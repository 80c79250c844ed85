import {
  type Configuration,
  ConfigurationSection,
  EMPTY_CONFIGURATION,
  KeyRole,
} from "@mustardweir/model";
import { expect } from "chai";
import { RULES } from "./harness_test.ts";
import {
  checkEdit,
  replaceSection,
  resolveEdit,
  SectionPatchKind,
} from "./mod.ts";

const BASE: Configuration = {
  ...EMPTY_CONFIGURATION,
  inventory: {
    availabilityZones: [{ name: "tx-a", region: "tx", racks: [] }],
  },
  rules: {
    teams: [{ name: "imaging", share: 1, ceiling: {}, maySubmit: true }],
    objectives: [],
  },
  zones: { gone: "draining" as never },
  keys: [{
    id: "k1",
    hash: "1".repeat(64),
    role: KeyRole.Submitter,
    team: "imaging",
  }],
};

const NEW_KEY = { id: "k2", hash: "2".repeat(64), role: "submitter" };

const { Keys, Rules, Zones } = ConfigurationSection;
const { GrantKey, SetZone, WithdrawKey } = SectionPatchKind;

const EDIT_CASES = [
  {
    name: "a drain of a zone",
    section: Zones,
    body: { patch: SetZone, zone: "tx-a", state: "draining" },
  },
  {
    name: "a return of a zone that the inventory no longer lists",
    section: Zones,
    body: { patch: SetZone, zone: "gone", state: "open" },
  },
  {
    name: "an unknown zone",
    section: Zones,
    body: { patch: SetZone, zone: "tx-b", state: "draining" },
    violation: "zones.tx-b: the inventory has no such availability zone",
  },
  {
    name: "a key of a known team",
    section: Keys,
    body: { patch: GrantKey, key: { ...NEW_KEY, team: "imaging" } },
  },
  {
    name: "a key of an unknown team",
    section: Keys,
    body: { patch: GrantKey, key: { ...NEW_KEY, team: "baking" } },
    violation: "keys.1.team: unknown team: baking",
  },
  {
    name: "a submitter's key without a team",
    section: Keys,
    body: { patch: GrantKey, key: NEW_KEY },
    violation: "keys.1.team: unknown team: none given",
  },
  {
    name: "an expired key",
    section: Keys,
    body: {
      patch: GrantKey,
      key: { ...NEW_KEY, team: "imaging", expiresAtMs: 5 },
    },
    violation: "keys.1.expiresAtMs: k2 has expired",
  },
  {
    name: "a key id that is in use",
    section: Keys,
    body: {
      patch: GrantKey,
      key: { ...NEW_KEY, id: "k1", team: "imaging" },
    },
    violation: "keys.1.id: k1 is listed twice",
  },
  {
    name: "a withdrawal of a key",
    section: Keys,
    body: { patch: WithdrawKey, id: "k1" },
  },
  {
    name: "a withdrawal of an unknown key",
    section: Keys,
    body: { patch: WithdrawKey, id: "k9" },
    violation: "keys: there is no key k9",
  },
  {
    name: "a patch of another section",
    section: Zones,
    body: { patch: WithdrawKey, id: "k1" },
    violation: "withdraw-key does not apply to zones",
  },
  {
    name: "a removal of a team that has a key",
    section: Rules,
    body: { teams: [] },
    violation:
      "rules.teams: team imaging still has the key k1; withdraw it first",
  },
  {
    name: "an objective of an unknown team",
    section: Rules,
    body: {
      ...RULES,
      objectives: [{
        team: "baking",
        kind: "batch",
        startWithinMs: 1,
        target: 0.9,
      }],
    },
    violation: "rules.objectives.0.team: unknown team: baking",
  },
  {
    name: "a share that is not a number",
    section: Rules,
    body: { teams: [{ name: "imaging", share: "big" }] },
    violation:
      "rules.teams.0.share: Invalid input: expected number, received string",
  },
] as const;

describe("Checks of an edit", () => {
  for (const { name, section, body, ...rest } of EDIT_CASES) {
    it(`${"violation" in rest ? "refuses" : "accepts"} ${name}`, () => {
      const result = resolveEdit(BASE, section, body).andThen((resolved) =>
        checkEdit({
          base: BASE,
          edited: replaceSection(BASE, section, resolved),
          section,
          wallMs: 1_000,
        })
      );
      const violation = result.isErr() ? result.error.message : undefined;
      expect(violation).to.equal(
        "violation" in rest ? rest.violation : undefined,
      );
    });
  }
});

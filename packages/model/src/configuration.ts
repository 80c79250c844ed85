import * as z from "zod";

const MAX_NAME_CHARS = 64;
const name = z.string().min(1).max(MAX_NAME_CHARS).regex(
  /^[a-z0-9][a-z0-9-]*$/,
  "names are lower-case letters, digits and dashes",
);

/** The parts of the configuration; each is edited and fetched separately. */
export enum ConfigurationSection {
  Inventory = "inventory",
  Rules = "rules",
  Zones = "zones",
  Keys = "keys",
}

/** One instance: its address and its capacity. */
export const instanceSchema = z.strictObject({
  id: name,
  /** Base URL of the worker on this instance. */
  address: z.url(),
  cpu: z.number().positive(),
  memoryMb: z.int().positive(),
  accelerators: z.int().nonnegative().default(0),
  slots: z.int().positive().default(8),
});

/** Instances that share power and a switch, and therefore fail together. */
export const rackSchema = z.strictObject({
  name,
  instances: z.array(instanceSchema),
});

/** A part of a region that fails as a whole. */
export const availabilityZoneSchema = z.strictObject({
  name,
  region: name,
  racks: z.array(rackSchema),
});

/** The fleet from the operators' asset register. */
export const inventorySchema = z.strictObject({
  availabilityZones: z.array(availabilityZoneSchema),
}).superRefine((inventory, context) => {
  const seen = new Set<string>();
  for (const zone of inventory.availabilityZones) {
    for (const id of [zone.name, ...instanceIds(zone)]) {
      if (seen.has(id)) {
        context.addIssue({ code: "custom", message: `${id} is listed twice` });
      }
      seen.add(id);
    }
  }
});

/** Upper limits on a team's running tasks in the whole fleet. */
export const ceilingSchema = z.strictObject({
  cpu: z.number().nonnegative().optional(),
  memoryMb: z.int().nonnegative().optional(),
  accelerators: z.int().nonnegative().optional(),
  tasks: z.int().nonnegative().optional(),
});

/** What one team may submit and how much of the fleet it may use. */
export const teamRuleSchema = z.strictObject({
  name,
  /** Weight of the team, relative to the others, when the fleet is full. */
  share: z.number().positive(),
  ceiling: ceilingSchema.default({}),
  /** Whether the team's jobs are accepted. */
  maySubmit: z.boolean().default(true),
});

/** A service-level objective of the burn report. */
export const objectiveSchema = z.strictObject({
  team: name,
  kind: z.enum(["service", "batch", "gang", "request"]),
  /** Time within which work should start, in milliseconds. */
  startWithinMs: z.int().positive(),
  /** Fraction of the work that must start within `startWithinMs`. */
  target: z.number().gt(0).lt(1),
});

/** The rules of all teams and the objectives of the burn report. */
export const rulesSchema = z.strictObject({
  teams: z.array(teamRuleSchema),
  objectives: z.array(objectiveSchema).default([]),
}).superRefine((rules, context) => {
  const seen = new Set<string>();
  for (const { name } of rules.teams) {
    if (seen.has(name)) {
      context.addIssue({
        code: "custom",
        message: `team ${name} is listed twice`,
      });
    }
    seen.add(name);
  }
});

/** Whether an availability zone accepts new tasks. */
export enum ZoneState {
  Open = "open",
  /** Accepts no new tasks; running tasks are moved away. */
  Draining = "draining",
}

/** States of zones; a zone that is not listed is open. */
export const zonesSchema = z.record(name, z.enum(ZoneState));

/** The calls that the holder of a key may make. */
export enum KeyRole {
  /** Submits, reads and cancels jobs of its own team only. */
  Submitter = "submitter",
  /** May read everything but change nothing. */
  Viewer = "viewer",
  Operator = "operator",
}

/** An API key; only its hash is stored. */
export const keySchema = z.strictObject({
  id: name,
  /** SHA-256 of the key, in hexadecimal. */
  hash: z.string().regex(/^[0-9a-f]{64}$/),
  role: z.enum(KeyRole),
  /** Team of a submitter's key. */
  team: name.optional(),
  /** Wall-clock time in milliseconds since 1970; absent: never expires. */
  expiresAtMs: z.int().positive().optional(),
});

/** All accepted keys; a key that isn't listed is refused. */
export const keysSchema = z.array(keySchema);

/** An instance as the inventory lists it. */
export type InstanceSpec = z.infer<typeof instanceSchema>;
/** An availability zone as the inventory lists it. */
export type AvailabilityZone = z.infer<typeof availabilityZoneSchema>;
/** The fleet, by availability zone and rack. */
export type Inventory = z.infer<typeof inventorySchema>;
/** Limits on a team's running tasks; an absent dimension is unlimited. */
export type Ceiling = z.infer<typeof ceilingSchema>;
/** The rule of one team. */
export type TeamRule = z.infer<typeof teamRuleSchema>;
/** A service-level objective for one kind of a team's work. */
export type Objective = z.infer<typeof objectiveSchema>;
/** The rules section of the configuration. */
export type Rules = z.infer<typeof rulesSchema>;
/** States by availability zone; a zone that isn't named is open. */
export type ZoneStates = z.infer<typeof zonesSchema>;
/** One accepted key. */
export type KeyRecord = z.infer<typeof keySchema>;

/** All sections that operators edit, under one version number. */
export interface Configuration {
  /** Grows by one with each accepted edit; 0 before the first. */
  readonly version: number;
  readonly inventory: Inventory;
  readonly rules: Rules;
  readonly zones: ZoneStates;
  readonly keys: readonly KeyRecord[];
}

/** The configuration before the first edit: no fleet, no teams, no keys. */
export const EMPTY_CONFIGURATION: Configuration = {
  version: 0,
  inventory: { availabilityZones: [] },
  rules: { teams: [], objectives: [] },
  zones: {},
  keys: [],
};

/** The schema of each section's body. */
export const SECTION_SCHEMAS = {
  [ConfigurationSection.Inventory]: inventorySchema,
  [ConfigurationSection.Rules]: rulesSchema,
  [ConfigurationSection.Zones]: zonesSchema,
  [ConfigurationSection.Keys]: keysSchema,
} as const;

function instanceIds(zone: z.infer<typeof availabilityZoneSchema>): string[] {
  return zone.racks.flatMap((rack) => rack.instances.map((i) => i.id));
}

import { z } from "zod";

const MAX_NAME_CHARS = 64;
const name = z.string().min(1).max(MAX_NAME_CHARS).regex(
  /^[a-z0-9][a-z0-9-]*$/,
  "names are lower-case letters, digits and dashes",
);

/** The parts of the configuration, edited and fetched one by one. */
export enum ConfigurationSection {
  Inventory = "inventory",
  Rules = "rules",
  Zones = "zones",
  Keys = "keys",
}

/** One instance: its address and what it has. */
export const instanceSchema = z.strictObject({
  id: name,
  /** Base URL of the worker on this instance. */
  address: z.url(),
  cpu: z.number().positive(),
  memoryMb: z.int().positive(),
  accelerators: z.int().nonnegative().default(0),
  slots: z.int().positive().default(8),
});

/** Instances that share power and a switch, and fail together. */
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

/** The most that a team may have running, fleet-wide. */
export const ceilingSchema = z.strictObject({
  cpu: z.number().nonnegative().optional(),
  memoryMb: z.int().nonnegative().optional(),
  accelerators: z.int().nonnegative().optional(),
  tasks: z.int().nonnegative().optional(),
});

/** What one team may submit and how much of the fleet it may use. */
export const teamRuleSchema = z.strictObject({
  name,
  /** Part of the fleet when it is full, relative to the other teams. */
  share: z.number().positive(),
  ceiling: ceilingSchema.default({}),
  /** False: the team's work is refused. */
  maySubmit: z.boolean().default(true),
});

/** A service-level objective of the burn report. */
export const objectiveSchema = z.strictObject({
  team: name,
  kind: z.enum(["service", "batch", "gang", "request"]),
  /** Work should start within this time. */
  startWithinMs: z.int().positive(),
  /** Fraction of the work that must. */
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

/** Whether an availability zone takes new tasks. */
export enum ZoneState {
  Open = "open",
  /** Takes no new task; running tasks are moved away. */
  Draining = "draining",
}

/** Zones that are not open; a zone that is not named is open. */
export const zonesSchema = z.record(name, z.enum(ZoneState));

/** What the holder of a key may do. */
export enum KeyRole {
  /** Submits and cancels its own team's work. */
  Submitter = "submitter",
  /** Reads everything, changes nothing. */
  Viewer = "viewer",
  Operator = "operator",
}

/** An API key, known by its hash only. */
export const keySchema = z.strictObject({
  id: name,
  /** SHA-256 of the key, in hexadecimal. */
  hash: z.string().regex(/^[0-9a-f]{64}$/),
  role: z.enum(KeyRole),
  /** The team of a submitter's key. */
  team: name.optional(),
  /** Wall-clock time in milliseconds since 1970. */
  expiresAtMs: z.int().positive().optional(),
});

/** Every key that is accepted; a key that isn't listed is refused. */
export const keysSchema = z.array(keySchema);

/** An instance as the inventory lists it. */
export type InstanceSpec = z.infer<typeof instanceSchema>;
/** An availability zone as the inventory lists it. */
export type AvailabilityZone = z.infer<typeof availabilityZoneSchema>;
/** The fleet, by availability zone and rack. */
export type Inventory = z.infer<typeof inventorySchema>;
/** The most that a team may have running; absent dimensions are unbounded. */
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

/** Everything that operators say, under one version. */
export interface Configuration {
  /** Grows by one with each accepted edit; 0 before the first. */
  readonly version: number;
  readonly inventory: Inventory;
  readonly rules: Rules;
  readonly zones: ZoneStates;
  readonly keys: readonly KeyRecord[];
}

/** What is in force before the first edit: no fleet, no teams, no keys. */
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

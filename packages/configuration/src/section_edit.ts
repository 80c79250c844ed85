import {
  type Configuration,
  ConfigurationSection,
  keySchema,
  SECTION_SCHEMAS,
  ZoneState,
} from "@mustardweir/model";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import { describeIssues, type DocumentError } from "./document.ts";

/** The kinds of change to a part of a section. */
export enum SectionPatchKind {
  GrantKey = "grant-key",
  WithdrawKey = "withdraw-key",
  SetZone = "set-zone",
}

const patchSchema = z.discriminatedUnion("patch", [
  z.strictObject({
    patch: z.literal(SectionPatchKind.GrantKey),
    key: keySchema,
  }),
  z.strictObject({
    patch: z.literal(SectionPatchKind.WithdrawKey),
    id: z.string(),
  }),
  z.strictObject({
    patch: z.literal(SectionPatchKind.SetZone),
    zone: z.string(),
    state: z.enum(ZoneState),
  }),
]);

/** A partial change, which an edit may contain instead of a whole body. */
export type SectionPatch = z.infer<typeof patchSchema>;

/**
 * Returns the new body of a section from an edit, which is either a whole body,
 * validated by the section's schema, or a {@link SectionPatch} of the base.
 *
 * @example
 * ```ts
 * const body = resolveEdit(base, ConfigurationSection.Zones, {
 *   patch: SectionPatchKind.SetZone, zone: "a", state: ZoneState.Draining,
 * });
 * ```
 */
export function resolveEdit(
  base: Configuration,
  section: ConfigurationSection,
  edit: unknown,
): Result<unknown, DocumentError> {
  const patch = patchSchema.safeParse(edit);
  if (patch.success) {
    return applyPatch(base, section, patch.data);
  }
  return parseSection(section, edit);
}

/**
 * Validates a section's body by its schema.
 *
 * @example
 * ```ts
 * const rules = parseSection(ConfigurationSection.Rules, body);
 * ```
 */
export function parseSection(
  section: ConfigurationSection,
  body: unknown,
): Result<unknown, DocumentError> {
  const parsed = SECTION_SCHEMAS[section].safeParse(body);
  return parsed.success
    ? ok(parsed.data)
    : err({ message: `${section}.${describeIssues(parsed.error)}` });
}

/**
 * Returns the configuration with one section replaced by a validated body.
 *
 * @example
 * ```ts
 * const edited = replaceSection(base, ConfigurationSection.Zones, zones);
 * ```
 */
export function replaceSection(
  base: Configuration,
  section: ConfigurationSection,
  body: unknown,
): Configuration {
  return { ...base, [section]: body };
}

function applyPatch(
  base: Configuration,
  section: ConfigurationSection,
  patch: SectionPatch,
): Result<unknown, DocumentError> {
  if (sectionOfPatch(patch.patch) !== section) {
    return err({ message: `${patch.patch} does not apply to ${section}` });
  }
  switch (patch.patch) {
    case SectionPatchKind.GrantKey:
      return ok([...base.keys, patch.key]);
    case SectionPatchKind.WithdrawKey:
      return withdrawKey(base, patch.id);
    case SectionPatchKind.SetZone:
      return ok(withZone(base, patch.zone, patch.state));
  }
}

function sectionOfPatch(kind: SectionPatchKind): ConfigurationSection {
  return kind === SectionPatchKind.SetZone
    ? ConfigurationSection.Zones
    : ConfigurationSection.Keys;
}

function withdrawKey(
  base: Configuration,
  id: string,
): Result<unknown, DocumentError> {
  const rest = base.keys.filter((key) => key.id !== id);
  return rest.length < base.keys.length
    ? ok(rest)
    : err({ message: `keys: there is no key ${id}` });
}

function withZone(base: Configuration, zone: string, state: ZoneState) {
  const { [zone]: _previous, ...others } = base.zones;
  return state === ZoneState.Open ? others : { ...others, [zone]: state };
}

import { SectionPatchKind } from "@mustardweir/configuration";
import type { ConfigurationSection } from "@mustardweir/model";
import * as z from "zod";

const namedPatch = z.discriminatedUnion("patch", [
  z.object({
    patch: z.literal(SectionPatchKind.GrantKey),
    key: z.object({ id: z.string() }),
  }),
  z.object({
    patch: z.literal(SectionPatchKind.WithdrawKey),
    id: z.string(),
  }),
  z.object({
    patch: z.literal(SectionPatchKind.SetZone),
    zone: z.string(),
    state: z.string(),
  }),
]);

/**
 * Describes briefly what an edit changes, without its body.
 *
 * @example
 * ```ts
 * describeEdit(section, { patch: "withdraw-key", id: "k1" });
 * // "withdraw-key k1"
 * ```
 */
export function describeEdit(
  section: ConfigurationSection,
  body: unknown,
): string {
  const { data } = namedPatch.safeParse(body);
  switch (data?.patch) {
    case SectionPatchKind.GrantKey:
      return `${data.patch} ${data.key.id}`;
    case SectionPatchKind.WithdrawKey:
      return `${data.patch} ${data.id}`;
    case SectionPatchKind.SetZone:
      return `${data.patch} ${data.zone} ${data.state}`;
    default:
      return `replace ${section}`;
  }
}

import { isDeepStrictEqual } from "node:util";

/** Fields that can identify the items of a list, in order of preference. */
const NAME_FIELDS = ["name", "id"] as const;

/**
 * Returns one line for each difference between two values. Items of lists are
 * matched by name, so their order doesn't matter.
 *
 * @example
 * ```ts
 * listDifferences({ share: 1 }, { share: 2 }, "teams.imaging");
 * // ["~ teams.imaging.share: 1 -> 2"]
 * ```
 */
export function listDifferences(
  before: unknown,
  after: unknown,
  path: string,
): string[] {
  if (isDeepStrictEqual(before, after)) {
    return [];
  }
  const old = toFields(before);
  const next = toFields(after);
  if (before === undefined) {
    return [`+ ${path}: ${JSON.stringify(after)}`];
  }
  if (after === undefined) {
    return [`- ${path}: ${JSON.stringify(before)}`];
  }
  if (old === undefined || next === undefined) {
    return [`~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`];
  }
  const names = new Set([...old.keys(), ...next.keys()]);
  return [...names].flatMap((name) =>
    listDifferences(old.get(name), next.get(name), `${path}.${name}`)
  );
}

/** Returns the fields or items of a value by name; undefined for scalars. */
function toFields(value: unknown): Map<string, unknown> | undefined {
  if (Array.isArray(value)) {
    return new Map(
      value.map((entry, index) => [getEntryName(entry, index), entry]),
    );
  }
  return value instanceof Object ? new Map(Object.entries(value)) : undefined;
}

function getEntryName(entry: unknown, index: number): string {
  const fields = entry instanceof Object
    ? entry as Record<string, unknown>
    : {};
  const name = NAME_FIELDS.map((field) => fields[field])
    .find((field) => typeof field === "string");
  return name === undefined ? String(index) : String(name);
}

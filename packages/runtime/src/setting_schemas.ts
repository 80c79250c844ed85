import type { PeerAddress } from "@mustardweir/protocol";
import * as z from "zod";
import { LogFormat, LogLevel } from "./logger.ts";

const MAX_PORT = 65_535;

/** Milliseconds per unit of a duration; without a unit it is milliseconds. */
const UNIT_MS: Readonly<Record<string, number>> = {
  "": 1,
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};

/** A host and a port, as in `host:port`. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** A range of ports, both ends included. */
export interface PortRange {
  readonly first: number;
  readonly last: number;
}

/** Bounds of an integer, both included; at least 0 by default. */
export interface IntegerSettingOptions {
  readonly min?: number;
  readonly max?: number;
}

/** Non-empty text. */
export const textSetting = z.string().min(1, "must not be empty");

/** An id of lower-case letters, digits and dashes. */
export const idSetting = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,63}$/,
  "must be lower-case letters, digits and dashes",
);

/** `host:port`; IPv6 in brackets; port 0 for any free port. */
export const hostPortSetting = z.string().transform((text, context) =>
  parseHostPort(text) ?? addIssue(context, "must be host:port")
);

/** A duration such as `500ms`, `2s`, `1m`; the value is in milliseconds. */
export const durationSetting = z.string().transform((text, context) =>
  parseDuration(text) ??
    addIssue(context, "must be a duration such as 500ms, 2s or 1m")
);

/** `id=host:port` pairs joined by commas, with unique ids; may be empty. */
export const peersSetting = z.string().transform((text, context) =>
  parsePeers(text) ??
    addIssue(context, "must be id=host:port pairs joined by commas")
);

/** `first-last`, both included. */
export const portRangeSetting = z.string().transform((text, context) =>
  parsePortRange(text) ?? addIssue(context, "must be a port range first-last")
);

/** `true` or `false`. */
export const booleanSetting = z.enum(
  ["true", "false"],
  "must be true or false",
).transform((text) => text === "true");

/** A {@link LogLevel}. */
export const logLevelSetting = z.enum(
  LogLevel,
  `must be one of ${Object.values(LogLevel).join(", ")}`,
);

/** A {@link LogFormat}. */
export const logFormatSetting = z.enum(
  LogFormat,
  `must be one of ${Object.values(LogFormat).join(", ")}`,
);

/**
 * Returns the schema of an integer within bounds, both included.
 *
 * @example
 * ```ts
 * const schema = integerSetting({ min: 1, max: 64 });
 * ```
 */
export function integerSetting(
  options: IntegerSettingOptions = {},
): z.ZodType<number> {
  const { min = 0, max = Number.MAX_SAFE_INTEGER } = options;
  return z.string().transform((text, context) => {
    const value = Number(text);
    const valid = /^-?\d+$/.test(text) && value >= min && value <= max;
    return valid
      ? value
      : addIssue(context, `must be an integer from ${min} to ${max}`);
  });
}

function addIssue(context: z.RefinementCtx<string>, message: string): never {
  context.addIssue({ code: "custom", message });
  return z.NEVER;
}

function parsePort(text: string): number | undefined {
  const port = Number(text);
  return /^\d+$/.test(text) && port <= MAX_PORT ? port : undefined;
}

function parseHostPort(text: string): HostPort | undefined {
  const match = /^(?:\[([0-9a-fA-F:.]+)\]|([^\s:[\]/=,]+)):(\d+)$/.exec(text);
  const host = match?.[1] ?? match?.[2];
  const port = parsePort(match?.[3] ?? "");
  return host === undefined || port === undefined ? undefined : { host, port };
}

function parseDuration(text: string): number | undefined {
  const match = /^(\d+(?:\.\d+)?)(ms|s|m|h)?$/.exec(text);
  return match ? Number(match[1]) * (UNIT_MS[match[2] ?? ""] ?? 1) : undefined;
}

function parsePeers(text: string): readonly PeerAddress[] | undefined {
  const peers = text.split(",").filter((part) => part !== "").map(parsePeer);
  const valid = peers.filter((peer) => peer !== undefined);
  const ids = new Set(valid.map(({ nodeId }) => nodeId));
  return ids.size === peers.length ? valid : undefined;
}

function parsePeer(text: string): PeerAddress | undefined {
  const [nodeId = "", address = "", ...rest] = text.split("=");
  const valid = rest.length === 0 && idSetting.safeParse(nodeId).success &&
    parseHostPort(address) !== undefined;
  return valid ? { nodeId, address } : undefined;
}

function parsePortRange(text: string): PortRange | undefined {
  const [first, last, ...rest] = text.split("-").map(parsePort);
  const valid = first !== undefined && last !== undefined &&
    rest.length === 0 && first <= last;
  return valid ? { first, last } : undefined;
}

import type { ClientLimits } from "./connection_policy.ts";

const MB = 1_024 * 1_024;
/** Share of a machine's memory for bodies and unparsed input. */
const BYTES_SHARE = 1 / 8;
/** Share of a machine's memory for the connections themselves. */
const CONNECTIONS_SHARE = 1 / 4;
/** Memory of a connection with its parser and headers of 16 KB, in bytes. */
const CONNECTION_BYTES = 32 * 1_024;
/** Open calls for each megabyte of a machine's memory; one takes 2 to 4 KB. */
const CALLS_PER_MB = 16;
/** Most descriptors that are kept for the store, peers and workers. */
const MAX_RESERVED_FDS = 512;
/** Connections of the readiness and metrics listeners, each. */
const MAX_PROBE_CONNECTIONS = 64;
/** Share of the descriptors for each of those listeners. */
const PROBE_FDS_SHARE = 1 / 32;
/** Listeners with {@link probeLimits} of a process. */
const PROBE_LISTENERS = 2;

/** Limits of a process without any setting: those of a machine of 512 MB. */
const DEFAULTS: ClientLimits = {
  maxBytes: 64 * MB,
  maxCalls: 8_000,
  // An ordinary job is parsed at once.
  sliceBytes: 4_096,
  maxCallsPerConnection: 32,
  maxUnsentBytes: 64 * 1_024,
  maxConnections: 10_000,
  bodyStallMs: 30_000,
  unreadMs: 30_000,
};

/** What the machine allows a process, and what its operator has set. */
export interface ClientLimitSettings {
  /** Memory of the machine in megabytes. */
  readonly memoryMb?: number;
  /** Largest number of open descriptors of the process. */
  readonly maxFds?: number;
  /** Descriptors that are kept for the store, peers and workers. */
  readonly reservedFds?: number;
  readonly maxBytes?: number;
  readonly maxCalls?: number;
  readonly maxCallsPerConnection?: number;
  readonly maxConnections?: number;
  readonly bodyStallMs?: number;
}

/**
 * Returns the limits of callers. What is not set follows from the machine.
 *
 * @example
 * ```ts
 * callerLimits({ memoryMb: 250, maxFds: 1_536 }).maxConnections; // 928
 * ```
 */
export function callerLimits(settings: ClientLimitSettings): ClientLimits {
  const { memoryMb, maxCallsPerConnection, bodyStallMs } = settings;
  return {
    ...DEFAULTS,
    ...(memoryMb === undefined ? {} : {
      maxBytes: Math.floor(memoryMb * MB * BYTES_SHARE),
      maxCalls: Math.max(1, Math.floor(memoryMb * CALLS_PER_MB)),
    }),
    ...(settings.maxBytes === undefined ? {} : { maxBytes: settings.maxBytes }),
    ...(settings.maxCalls === undefined ? {} : { maxCalls: settings.maxCalls }),
    ...(maxCallsPerConnection === undefined ? {} : { maxCallsPerConnection }),
    ...(bodyStallMs === undefined ? {} : { bodyStallMs }),
    maxConnections: settings.maxConnections ?? maxConnections(settings),
  };
}

/** Returns the limits of callers of the readiness and of the metrics, each. */
export function probeLimits({ maxFds }: ClientLimitSettings): ClientLimits {
  return {
    ...DEFAULTS,
    maxBytes: 2 * MB,
    maxCalls: 256,
    // At most 28 calls beyond the rate.
    sliceBytes: 512,
    maxCallsPerConnection: 4,
    // 1,000 calls a second: a hundred times those of probes and scrapers.
    maxCallsPerInterval: 50,
    maxConnections: probeConnections(maxFds),
    unreadMs: 10_000,
  };
}

/** Limits of what peers cost. */
export interface PeerLimits {
  /** Total of the bodies of queued messages for each peer, in bytes. */
  readonly maxQueuedBytes: number;
  /** Largest frame that is read, in bytes. */
  readonly maxReadBytes: number;
  /** Accepted connections. */
  readonly maxConnections: number;
}

/**
 * Least bound on a frame, in bytes. A frame has up to 256 KB or one message,
 * which may be a page of the store that a peer relays.
 */
const MIN_READ_BYTES = 16 * MB;
const MAX_READ_BYTES = 64 * MB;
/** Fewest connections of peers; each of 45 nodes has one. */
const MIN_PEER_CONNECTIONS = 64;
const MAX_PEER_CONNECTIONS = 2_000;

/** Returns the limits of peers, from the memory and descriptors. */
export function peerLimits(settings: ClientLimitSettings): PeerLimits {
  const { memoryMb = Infinity, maxFds = Infinity } = settings;
  const readBytes = Math.max(MIN_READ_BYTES, memoryMb * MB / 8);
  const connections = Math.max(MIN_PEER_CONNECTIONS, maxFds / 8);
  return {
    maxQueuedBytes: Math.floor(Math.min(MAX_READ_BYTES, memoryMb * MB / 32)),
    maxReadBytes: Math.floor(Math.min(MAX_READ_BYTES, readBytes)),
    maxConnections: Math.floor(Math.min(MAX_PEER_CONNECTIONS, connections)),
  };
}

function probeConnections(maxFds = Infinity): number {
  const share = Math.floor(maxFds * PROBE_FDS_SHARE);
  return Math.max(4, Math.min(MAX_PROBE_CONNECTIONS, share));
}

function maxConnections(settings: ClientLimitSettings): number {
  const { memoryMb = Infinity, maxFds = Infinity } = settings;
  const reserved = settings.reservedFds ??
    Math.min(MAX_RESERVED_FDS, Math.floor(maxFds / 2));
  const byFds = maxFds - reserved - PROBE_LISTENERS * probeConnections(maxFds);
  const byMemory = memoryMb * MB * CONNECTIONS_SHARE / CONNECTION_BYTES;
  const least = Math.min(DEFAULTS.maxConnections, byFds, byMemory);
  return Math.max(1, Math.floor(least));
}

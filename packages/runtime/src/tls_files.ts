import { readFileSync, statSync } from "node:fs";
import { createSecureContext } from "node:tls";
import type { Undo } from "@mustardweir/kernel";
import { err, ok, type Result } from "neverthrow";
import type { Logger } from "./logger.ts";
import type { Metrics } from "./metrics.ts";
import { type SettingError, SettingErrorKind } from "./settings.ts";

/** Interval at which the files are checked for changes, in milliseconds. */
const POLL_INTERVAL_MS = 5_000;

/** Lowest accepted version of TLS. */
const MIN_TLS_VERSION = "TLSv1.2" as const;

/** Paths of PEM files. */
export interface TlsPaths {
  readonly cert: string;
  readonly key: string;
  /** Authorities that must have signed the certificate of the other side. */
  readonly ca?: string;
}

/** The contents of the files, as options of Node.js' TLS functions. */
export interface TlsMaterial {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca?: Buffer;
  readonly minVersion: typeof MIN_TLS_VERSION;
}

/** The reason for which the files can't be used. */
export interface TlsError {
  readonly message: string;
}

/** The files, how often they are checked, and how reloads are reported. */
export interface TlsFilesOptions {
  readonly paths: TlsPaths;
  /** Interval of the checks for changes, in milliseconds; 5 s by default. */
  readonly pollMs?: number;
  /** Counts reloads and failed reloads. */
  readonly metrics?: Metrics;
  /** Logs reloads. */
  readonly logger?: Logger;
}

/** Called with the new material after a reload. */
export type TlsListener = (material: TlsMaterial) => void;

/**
 * Certificate and key in files that may be replaced at any time. If the new
 * files can't be used, the last usable material stays in use.
 *
 * @example
 * ```ts
 * const files = openTlsFiles({ paths: { cert, key } })._unsafeUnwrap();
 * const undo = files.watch((tls) => server.setSecureContext(tls));
 * ```
 */
export class TlsFiles {
  readonly #options: TlsFilesOptions;
  readonly #listeners = new Set<TlsListener>();
  #current: TlsMaterial;
  #fileState: string;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: TlsFilesOptions, current: TlsMaterial) {
    this.#options = options;
    this.#current = current;
    this.#fileState = readFileState(options.paths);
  }

  /** The last usable material that was read. */
  get current(): TlsMaterial {
    return this.#current;
  }

  /** Calls `listener` after each reload until the returned function is called. */
  watch(listener: TlsListener): Undo {
    this.#listeners.add(listener);
    const { pollMs = POLL_INTERVAL_MS } = this.#options;
    this.#timer ??= setInterval(() => this.#poll(), pollMs).unref();
    return () => {
      this.#listeners.delete(listener);
      if (this.#listeners.size === 0) {
        clearInterval(this.#timer);
        this.#timer = undefined;
      }
    };
  }

  #poll(): void {
    const { paths, metrics, logger } = this.#options;
    const fileState = readFileState(paths);
    if (fileState === this.#fileState) {
      return;
    }
    const material = readTls(paths);
    if (material.isErr()) {
      // One of the files may not have been replaced yet; the next check
      // retries, because the recorded file state is unchanged.
      metrics?.count("tls_reloads_failed");
      return;
    }
    this.#fileState = fileState;
    this.#current = material.value;
    metrics?.count("tls_reloads");
    logger?.info("Certificates reloaded", { cert: paths.cert });
    for (const listener of this.#listeners) {
      listener(material.value);
    }
  }
}

/**
 * Reads the files; fails if they can't be used.
 *
 * @example
 * ```ts
 * const files = openTlsFiles({ paths: { cert: "tls.crt", key: "tls.key" } });
 * ```
 */
export function openTlsFiles(
  options: TlsFilesOptions,
): Result<TlsFiles, TlsError> {
  return readTls(options.paths).map((material) =>
    new TlsFiles(options, material)
  );
}

/** Paths from the settings, and what the settings require. */
export interface TlsSettingOptions extends Omit<TlsFilesOptions, "paths"> {
  readonly cert: string | undefined;
  readonly key: string | undefined;
  readonly ca?: string;
  /** Whether `ca` is required too, for mutual TLS; false by default. */
  readonly isMutual?: boolean;
  /** Prefix of the flags, for errors, such as `--tls`. */
  readonly flag: string;
}

/**
 * Opens the files that the settings name. Returns undefined, for connections
 * without TLS, if none is set; fails if only some are set.
 *
 * @example
 * ```ts
 * const tls = tlsFromSettings({ cert, key, flag: "--tls", metrics });
 * ```
 */
export function tlsFromSettings(
  options: TlsSettingOptions,
): Result<TlsFiles | undefined, SettingError> {
  const { cert, key, ca, flag, isMutual = false } = options;
  const given = isMutual ? [cert, key, ca] : [cert, key];
  if (given.every((path) => path === undefined)) {
    return ok(undefined);
  }
  if (cert === undefined || key === undefined || given.includes(undefined)) {
    const names = isMutual ? ["cert", "key", "ca"] : ["cert", "key"];
    const flags = names.map((name) => `${flag}-${name}`).join(", ");
    return badSetting(`${flags} are given together or not at all`);
  }
  return openTlsFiles({ ...options, paths: { cert, key, ca } })
    .orElse(({ message }) => badSetting(`${flag}-cert: ${message}`));
}

/** Values of the TLS settings of links between nodes. */
export interface LinkTlsSettings {
  readonly linkCert: string | undefined;
  readonly linkKey: string | undefined;
  readonly linkCa: string | undefined;
}

/**
 * Opens the certificates for links, which use mutual TLS.
 *
 * @example
 * ```ts
 * const tls = linkTlsFromSettings(settings, { metrics, logger });
 * ```
 */
export function linkTlsFromSettings(
  settings: LinkTlsSettings,
  options: Pick<TlsFilesOptions, "metrics" | "logger"> = {},
): Result<TlsFiles | undefined, SettingError> {
  return tlsFromSettings({
    ...options,
    cert: settings.linkCert,
    key: settings.linkKey,
    ca: settings.linkCa,
    isMutual: true,
    flag: "--link",
  });
}

function badSetting(message: string): Result<never, SettingError> {
  return err({ kind: SettingErrorKind.BadValue, message });
}

function readTls({ cert, key, ca }: TlsPaths): Result<TlsMaterial, TlsError> {
  try {
    const material = {
      cert: readFileSync(cert),
      key: readFileSync(key),
      ...(ca === undefined ? {} : { ca: readFileSync(ca) }),
      minVersion: MIN_TLS_VERSION,
    };
    createSecureContext(material);
    return ok(material);
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return err({ message: `Certificate or key can't be used: ${reason}` });
  }
}

/** Returns a text that changes when a file is replaced, added or removed. */
function readFileState({ cert, key, ca }: TlsPaths): string {
  return [cert, key, ca].map((path) => {
    const stat = path && statSync(path, { throwIfNoEntry: false });
    return stat ? `${stat.mtimeMs}/${stat.size}/${stat.ino}` : "none";
  }).join(" ");
}

import { readFileSync, statSync } from "node:fs";
import { createSecureContext } from "node:tls";
import type { Undo } from "@mustardweir/kernel";
import { err, ok, type Result } from "neverthrow";
import type { Logger } from "./logger.ts";
import type { Metrics } from "./metrics.ts";
import { type SettingError, SettingErrorKind } from "./settings.ts";

/** Time between looks whether the files have changed, in milliseconds. */
const POLL_MS = 5_000;

/** Oldest version of TLS that is spoken. */
const MIN_VERSION = "TLSv1.2" as const;

/** Paths of PEM files. */
export interface TlsPaths {
  readonly cert: string;
  readonly key: string;
  /** Certificates that the other side's must be signed by. */
  readonly ca?: string;
}

/** What the files hold, as Node.js takes it. */
export interface TlsMaterial {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca?: Buffer;
  readonly minVersion: typeof MIN_VERSION;
}

/** Why the files can't be used. */
export interface TlsError {
  readonly message: string;
}

/** Which files are read, how often, and who is told. */
export interface TlsFilesOptions {
  readonly paths: TlsPaths;
  /** 5 s by default. */
  readonly pollMs?: number;
  /** Counts reloads and those that failed. */
  readonly metrics?: Metrics;
  /** Told of reloads. */
  readonly logger?: Logger;
}

/** Called with the new material after files were replaced. */
export type TlsListener = (material: TlsMaterial) => void;

/**
 * Certificate and key in files that may be replaced at any time. Files that
 * can't be used leave the last good ones in force.
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
  #stamp: string;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: TlsFilesOptions, current: TlsMaterial) {
    this.#options = options;
    this.#current = current;
    this.#stamp = stampOf(options.paths);
  }

  /** What the files held when they were last usable. */
  get current(): TlsMaterial {
    return this.#current;
  }

  /** Calls `listener` after each reload until it is taken back. */
  watch(listener: TlsListener): Undo {
    this.#listeners.add(listener);
    const { pollMs = POLL_MS } = this.#options;
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
    const stamp = stampOf(paths);
    if (stamp === this.#stamp) {
      return;
    }
    const material = readTls(paths);
    if (material.isErr()) {
      // One of the files may not have been replaced yet; looked at again.
      metrics?.count("tls_reloads_failed");
      return;
    }
    this.#stamp = stamp;
    this.#current = material.value;
    metrics?.count("tls_reloads");
    logger?.info("Certificates reloaded", { cert: paths.cert });
    for (const listener of this.#listeners) {
      listener(material.value);
    }
  }
}

/**
 * Reads the files for the first time.
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

/** Paths as the settings give them. */
export interface TlsSettingOptions extends Omit<TlsFilesOptions, "paths"> {
  readonly cert: string | undefined;
  readonly key: string | undefined;
  readonly ca?: string;
  /** True when `ca` is needed too. */
  readonly isMutual?: boolean;
  /** Names the flags in errors, such as `--tls`. */
  readonly flag: string;
}

/**
 * Files named by settings: all of them, or none for plain connections.
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

/** The values of the settings of links. */
export interface LinkTlsSettings {
  readonly linkCert: string | undefined;
  readonly linkKey: string | undefined;
  readonly linkCa: string | undefined;
}

/**
 * Certificates of links, which both sides show.
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
      minVersion: MIN_VERSION,
    };
    createSecureContext(material);
    return ok(material);
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return err({ message: `Certificate or key can't be used: ${reason}` });
  }
}

/** Changes when a file does; a file that is not there counts as changed. */
function stampOf({ cert, key, ca }: TlsPaths): string {
  return [cert, key, ca].map((path) => {
    const stat = path && statSync(path, { throwIfNoEntry: false });
    return stat ? `${stat.mtimeMs}/${stat.size}/${stat.ino}` : "none";
  }).join(" ");
}

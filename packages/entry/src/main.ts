/** Entry point of the binary mustardweir-entry. */
import "@mustardweir/configuration";
import "@mustardweir/membership";
import "@mustardweir/burn";
import "@mustardweir/admission";
import { Role } from "@mustardweir/kernel";
import { createPlatformPerformers } from "@mustardweir/platform-client";
import {
  createLogger,
  exitOnSettingError,
  identityFromSettings,
  linkTlsFromSettings,
  type Logger,
  Metrics,
  parseSettings,
  Readiness,
  runNode,
  type SettingValues,
  SystemClock,
  type TlsFiles,
  tlsFromSettings,
} from "@mustardweir/runtime";
import { JsonMessageCodec, LinkPerformer } from "@mustardweir/wire";
import {
  CallerFront,
  ENTRY_SETTINGS,
  EntryPlugin,
  registerEntryPlugin,
} from "./mod.ts";

type EntrySettings = SettingValues<typeof ENTRY_SETTINGS>;

async function main(settings: EntrySettings): Promise<void> {
  const { operatorKeyHash } = settings;
  const entry = new EntryPlugin({ operatorKeyHash });
  registerEntryPlugin(entry);
  const identity = identityFromSettings(settings, Role.Entry);
  const metrics = new Metrics();
  const logger = createLogger({
    node: settings.nodeId,
    format: settings.logFormat,
    level: settings.logLevel,
  });
  const linkTls = linkTlsFromSettings(settings, { metrics, logger })
    .match((files) => files, exitOnSettingError);
  const clock = new SystemClock();
  const readiness = new Readiness();
  const front = new CallerFront({
    listen: settings.listen,
    isReady: () => !readiness.isDraining && entry.isReady(clock.now()),
    tls: createCallerTls(settings, { metrics, logger }),
    configurationVersion: () => entry.configurationVersion,
    metrics,
  });
  await runNode({
    identity,
    performers: [
      front,
      new LinkPerformer({
        identity,
        codec: new JsonMessageCodec(),
        metrics,
        tls: linkTls,
      }),
      ...createPlatformPerformers(settings.platform),
    ],
    logger,
    metrics,
    readiness,
    drainDelayMs: settings.drainDelayMs,
    stopTimeoutMs: settings.stopTimeoutMs,
    listening: () => ({ host: settings.listen.host, port: front.port }),
  });
}

/** Returns the certificate files for callers; undefined for plain HTTP. */
function createCallerTls(
  { tlsCert: cert, tlsKey: key }: EntrySettings,
  options: { readonly metrics: Metrics; readonly logger: Logger },
): TlsFiles | undefined {
  return tlsFromSettings({ ...options, cert, key, flag: "--tls" })
    .match((files) => files, exitOnSettingError);
}

parseSettings(ENTRY_SETTINGS, {
  command: "mustardweir-entry",
  description: "Serves the HTTP API for callers and operators",
}).match((settings) => void main(settings), exitOnSettingError);

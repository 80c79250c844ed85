/** The binary mustardweir-entry. */
import "@mustardweir/configuration";
import "@mustardweir/membership";
import "@mustardweir/burn";
import "@mustardweir/admission";
import { Role } from "@mustardweir/kernel";
import {
  HttpInstanceList,
  HttpObjectStore,
  HttpTableStore,
  InstanceListPerformer,
  ObjectPerformer,
  PlatformConnection,
  TablePerformer,
} from "@mustardweir/platform-client";
import type { NodeIdentity } from "@mustardweir/protocol";
import {
  createIncarnation,
  createLogger,
  exitOnSettingError,
  Metrics,
  parseSettings,
  Readiness,
  runNode,
  type SettingValues,
  SystemClock,
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
  const identity = createIdentity(settings);
  const metrics = new Metrics();
  const clock = new SystemClock();
  const readiness = new Readiness();
  const front = new CallerFront({
    listen: settings.listen,
    isReady: () => !readiness.isDraining && entry.isReady(clock.now()),
    configurationVersion: () => entry.configurationVersion,
    metrics,
  });
  await runNode({
    identity,
    performers: [
      front,
      new LinkPerformer({ identity, codec: new JsonMessageCodec(), metrics }),
      ...createPlatformPerformers(settings.platform),
    ],
    logger: createLogger({
      node: settings.nodeId,
      format: settings.logFormat,
      level: settings.logLevel,
    }),
    metrics,
    readiness,
    drainDelayMs: settings.drainDelayMs,
    stopTimeoutMs: settings.stopTimeoutMs,
    listening: () => ({ host: settings.listen.host, port: front.port }),
  });
}

function createIdentity(settings: EntrySettings): NodeIdentity {
  return {
    nodeId: settings.nodeId,
    role: Role.Entry,
    incarnation: createIncarnation(),
    availabilityZone: settings.availabilityZone,
    seedPeers: settings.peers,
  };
}

function createPlatformPerformers(baseUrl: string) {
  const connection = new PlatformConnection({ baseUrl });
  return [
    new TablePerformer(new HttpTableStore(connection)),
    new ObjectPerformer(new HttpObjectStore(connection)),
    new InstanceListPerformer(new HttpInstanceList(connection)),
  ];
}

parseSettings(ENTRY_SETTINGS, {
  command: "mustardweir-entry",
  description: "Takes the calls of callers and operators over HTTP",
}).match((settings) => void main(settings), exitOnSettingError);

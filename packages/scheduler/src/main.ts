/** Entry point of the binary mustardweir-scheduler. */
import "@mustardweir/configuration";
import "@mustardweir/membership";
import "@mustardweir/journal";
import "@mustardweir/placement";
import "@mustardweir/fairness";
import "@mustardweir/quarantine";
import "@mustardweir/slice";
import "@mustardweir/home";
import "@mustardweir/burn/recorder";
import { Role } from "@mustardweir/kernel";
import { createPlatformPerformers } from "@mustardweir/platform-client";
import {
  AdminListener,
  createLogger,
  exitOnSettingError,
  identityFromSettings,
  linkTlsFromSettings,
  Metrics,
  parseSettings,
  type ProbeOptions,
  Readiness,
  runNode,
  type SettingValues,
  SystemClock,
} from "@mustardweir/runtime";
import { TargetPerformer } from "@mustardweir/target-client";
import { JsonMessageCodec, LinkPerformer } from "@mustardweir/wire";
import {
  registerSchedulerPlugin,
  SchedulerPlugin,
} from "./scheduler_plugin.ts";
import { SCHEDULER_SETTINGS } from "./settings.ts";

type SchedulerSettings = SettingValues<typeof SCHEDULER_SETTINGS>;

async function main(settings: SchedulerSettings): Promise<void> {
  const scheduler = new SchedulerPlugin();
  registerSchedulerPlugin(scheduler);
  const identity = identityFromSettings(settings, Role.Scheduler);
  const metrics = new Metrics();
  const logger = createLogger({
    node: settings.nodeId,
    format: settings.logFormat,
    level: settings.logLevel,
  });
  const linkTls = linkTlsFromSettings(settings, { metrics, logger })
    .match((files) => files, exitOnSettingError);
  const links = new LinkPerformer({
    identity,
    codec: new JsonMessageCodec(),
    listen: settings.listen,
    metrics,
    tls: linkTls,
  });
  const readiness = new Readiness();
  const clock = new SystemClock();
  await runNode({
    identity,
    performers: [
      links,
      ...createAdminListeners(settings, {
        isReady: () => !readiness.isDraining && scheduler.isReady(clock.now()),
        metrics,
      }),
      new TargetPerformer(),
      ...createPlatformPerformers(settings.platform),
    ],
    logger,
    metrics,
    readiness,
    drainDelayMs: settings.drainDelayMs,
    stopTimeoutMs: settings.stopTimeoutMs,
    listening: () => ({ host: settings.listen.host, port: links.port }),
  });
}

function createAdminListeners(
  { adminListen }: SchedulerSettings,
  probes: ProbeOptions,
): AdminListener[] {
  return adminListen === undefined
    ? []
    : [new AdminListener({ listen: adminListen, ...probes })];
}

parseSettings(SCHEDULER_SETTINGS, {
  command: "mustardweir-scheduler",
  description: "Owns homes of teams and slices of instances",
}).match((settings) => void main(settings), exitOnSettingError);

import {
  CommandPriority,
  createCommand,
  createStateKey,
  type Kernel,
  mergeUndo,
  Plugin,
  registerPlugin,
  Role,
  type Undo,
  type Update,
} from "@mustardweir/kernel";
import {
  type Configuration,
  ConfigurationSection,
  EMPTY_CONFIGURATION,
} from "@mustardweir/model";
import {
  count,
  EffectKind,
  type EffectReply,
  type GetObjectEffect,
  type GetObjectResult,
  logChange,
  replyTo,
  type ScanResult,
  type ScanTableEffect,
  StoreStatus,
  type TableRow,
} from "@mustardweir/protocol";
import {
  CONFIGURATION_ROW,
  type ConfigurationDocument,
  parseDocument,
  parseJson,
  sectionObjectKey,
} from "./document.ts";
import { parseSection } from "./section_edit.ts";
import { CONFIGURATION, CONFIGURATION_CHANGED } from "./state.ts";

/** Time between scans for a newer version, in milliseconds. */
export const SCAN_INTERVAL_MS = 1_000;

/** Time after which a scan without a reply times out, in milliseconds. */
export const SCAN_TIMEOUT_MS = 3_000;

/** Time after which a fetch without a reply times out, in milliseconds. */
export const FETCH_TIMEOUT_MS = 10_000;

/** A scan or fetch without a reply so far. */
interface PendingRead {
  readonly id: number;
  readonly startedAt: number;
}

interface FetchContext {
  readonly section: ConfigurationSection;
  readonly objectKey: string;
  readonly id: number;
}

/** The newest row that a scan has returned. */
export interface KnownRow {
  readonly document: ConfigurationDocument;
  /** Version of the row in the table, for conditional writes. */
  readonly rowVersion: number;
}

/** What the follower has read from the table and the object store. */
export interface ConfigurationFollowerState {
  revision: number;
  nextId: number;
  scan?: PendingRead;
  /** The newest row; its version is not in force until it is loaded. */
  known?: KnownRow;
  /** Start of the last scan that confirmed `known` as the newest row. */
  knownConfirmedAt: number;
  /** Validated bodies of the known and current versions, by section and key. */
  readonly bodies: Map<string, unknown>;
  readonly fetches: Map<string, PendingRead>;
}

/** State key of the configuration's scans and fetches. */
export const CONFIGURATION_FOLLOWER = createStateKey<
  ConfigurationFollowerState
>(
  "configuration-follower",
);

const SCANNED = createCommand<EffectReply<number, ScanResult>>(
  "configuration-scanned",
);

const FETCHED = createCommand<EffectReply<FetchContext, GetObjectResult>>(
  "configuration-section-fetched",
);

/** Polls the configuration row and puts each newer version in force. */
export class ConfigurationPlugin extends Plugin {
  override readonly name = "configuration";

  override register(kernel: Kernel): Undo {
    return mergeUndo(
      kernel.registerState(CONFIGURATION, {
        current: EMPTY_CONFIGURATION,
        confirmedAt: -Infinity,
      }),
      kernel.registerState(CONFIGURATION_FOLLOWER, createFollowerState()),
      kernel.registerCommand(SCANNED, onScanned, CommandPriority.Normal),
      kernel.registerCommand(FETCHED, onFetched, CommandPriority.Normal),
      kernel.registerPeriodic({ intervalMs: SCAN_INTERVAL_MS, run: poll }),
    );
  }
}

registerPlugin({
  name: "configuration",
  roles: [Role.Entry, Role.Scheduler],
  create: () => new ConfigurationPlugin(),
});

function createFollowerState(): ConfigurationFollowerState {
  return {
    revision: 0,
    nextId: 1,
    knownConfirmedAt: -Infinity,
    bodies: new Map(),
    fetches: new Map(),
  };
}

function poll(update: Update): void {
  const state = update.write(CONFIGURATION_FOLLOWER);
  if (state.scan && update.now - state.scan.startedAt > SCAN_TIMEOUT_MS) {
    state.scan = undefined;
    update.emit(count("configuration_scans_given_up"));
  }
  if (!state.scan) {
    startScan(state, update);
  }
  fetchMissing(state, update);
}

/**
 * Starts a scan unless one is in flight.
 *
 * @example
 * ```ts
 * scanNow(update); // after an edit of this node was written
 * ```
 */
export function scanNow(update: Update): void {
  const state = update.write(CONFIGURATION_FOLLOWER);
  if (!state.scan) {
    startScan(state, update);
  }
}

function startScan(state: ConfigurationFollowerState, update: Update): void {
  const id = state.nextId++;
  state.scan = { id, startedAt: update.now };
  const effect: ScanTableEffect = {
    kind: EffectKind.ScanTable,
    prefix: CONFIGURATION_ROW,
    afterRevision: state.revision,
    replyTo: replyTo(SCANNED, id),
  };
  update.emit(effect);
}

function onScanned(
  { context, result }: EffectReply<number, ScanResult>,
  update: Update,
): void {
  const state = update.write(CONFIGURATION_FOLLOWER);
  const scan = state.scan;
  if (scan?.id !== context) {
    return;
  }
  state.scan = undefined;
  if (result.status !== StoreStatus.Ok) {
    update.emit(count("configuration_scans_failed"));
    return;
  }
  const row = result.page.rows.find((r) => r.key === CONFIGURATION_ROW);
  if (row && !recordRow(state, row, update)) {
    return;
  }
  state.revision = Math.max(state.revision, result.page.revision);
  state.knownConfirmedAt = scan.startedAt;
  fetchMissing(state, update);
  applyKnownVersion(state, update);
}

/**
 * Records a scanned row; returns false if it is invalid or older than the one
 * recorded before.
 */
function recordRow(
  state: ConfigurationFollowerState,
  row: TableRow,
  update: Update,
): boolean {
  const parsed = parseDocument(row.value);
  if (parsed.isErr()) {
    update.emit(count("configuration_rows_unreadable"));
    return false;
  }
  const document = parsed.value;
  const known = state.known?.document.version ?? 0;
  if (document.version < known) {
    update.emit(count("configuration_rows_older"));
    return false;
  }
  if (document.version > known) {
    update.emit(
      logChange("Configuration announced", { version: document.version }),
    );
  }
  state.known = { document, rowVersion: row.version };
  return true;
}

function fetchMissing(state: ConfigurationFollowerState, update: Update): void {
  for (const [section, objectKey] of sectionObjects(state)) {
    const name = bodyName(section, objectKey);
    const fetch = state.fetches.get(name);
    const isPending = fetch !== undefined &&
      update.now - fetch.startedAt <= FETCH_TIMEOUT_MS;
    if (state.bodies.has(name) || isPending) {
      continue;
    }
    const id = state.nextId++;
    state.fetches.set(name, { id, startedAt: update.now });
    const effect: GetObjectEffect = {
      kind: EffectKind.GetObject,
      key: objectKey,
      replyTo: replyTo(FETCHED, { section, objectKey, id }),
    };
    update.emit(effect);
  }
}

function onFetched(
  { context, result }: EffectReply<FetchContext, GetObjectResult>,
  update: Update,
): void {
  const { section, objectKey, id } = context;
  const state = update.write(CONFIGURATION_FOLLOWER);
  const name = bodyName(section, objectKey);
  if (state.fetches.get(name)?.id !== id) {
    return;
  }
  state.fetches.delete(name);
  if (result.status !== StoreStatus.Ok) {
    update.emit(count("configuration_fetches_failed"));
    return;
  }
  if (sectionObjectKey(result.body) !== objectKey) {
    update.emit(count("configuration_objects_corrupt"));
    return;
  }
  const body = parseJson(result.body).andThen((json) =>
    parseSection(section, json)
  );
  if (body.isErr()) {
    update.emit(count("configuration_objects_unreadable"));
    return;
  }
  state.bodies.set(name, body.value);
  applyKnownVersion(state, update);
}

/** Puts the known version in force if it is loaded, and confirms it. */
function applyKnownVersion(
  state: ConfigurationFollowerState,
  update: Update,
): void {
  const document = state.known?.document;
  if (document && !isLoaded(state)) {
    return;
  }
  const configuration = update.write(CONFIGURATION);
  const previous = configuration.current;
  configuration.confirmedAt = Math.max(
    configuration.confirmedAt,
    state.knownConfirmedAt,
  );
  if (!document || document.version <= previous.version) {
    return;
  }
  const current = buildConfiguration(state, document);
  configuration.current = current;
  configuration.retired = document.retired;
  dropUnreferencedBodies(state);
  update.emit(
    logChange("Configuration in force", { version: current.version }),
  );
  update.dispatch(CONFIGURATION_CHANGED, { previous, current });
}

function isLoaded(state: ConfigurationFollowerState): boolean {
  return sectionObjects(state).every(([section, objectKey]) =>
    state.bodies.has(bodyName(section, objectKey))
  );
}

function buildConfiguration(
  state: ConfigurationFollowerState,
  document: ConfigurationDocument,
): Configuration {
  const bodies = sectionObjects(state).map(([section, objectKey]) => [
    section,
    state.bodies.get(bodyName(section, objectKey)),
  ]);
  return {
    ...EMPTY_CONFIGURATION,
    ...Object.fromEntries(bodies),
    version: document.version,
  };
}

function dropUnreferencedBodies(state: ConfigurationFollowerState): void {
  const kept = new Set(
    sectionObjects(state).map(([section, key]) => bodyName(section, key)),
  );
  for (const name of state.bodies.keys()) {
    if (!kept.has(name)) {
      state.bodies.delete(name);
    }
  }
}

function sectionObjects(
  state: ConfigurationFollowerState,
): [ConfigurationSection, string][] {
  const sections = state.known?.document.sections ?? {};
  return Object.entries(sections) as [ConfigurationSection, string][];
}

function bodyName(section: ConfigurationSection, objectKey: string): string {
  return `${section}:${objectKey}`;
}

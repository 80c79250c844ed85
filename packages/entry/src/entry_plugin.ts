import {
  ADMISSION_SETTINGS,
  type AdmissionSettings,
  isAdmitting,
} from "@mustardweir/admission";
import { CONFIGURATION } from "@mustardweir/configuration";
import {
  type Kernel,
  Plugin,
  registerPlugin,
  Role,
  type Undo,
} from "@mustardweir/kernel";

/**
 * Gives the settings of the process to the plug-ins of an entry, and tells
 * the process whether callers may come.
 */
export class EntryPlugin extends Plugin {
  override readonly name = "entry";
  readonly #settings: AdmissionSettings;
  #kernel: Kernel | undefined;

  constructor(settings: AdmissionSettings) {
    super();
    this.#settings = settings;
  }

  override register(kernel: Kernel): Undo {
    this.#kernel = kernel;
    return kernel.registerService(ADMISSION_SETTINGS, this.#settings);
  }

  /** Version of the configuration in force; 0 before the start. */
  get configurationVersion(): number {
    return this.#kernel?.read(CONFIGURATION).current.version ?? 0;
  }

  /** True while the entry takes calls at `now`, the loop's time. */
  isReady(now: number): boolean {
    return this.#kernel !== undefined && isAdmitting(this.#kernel, now);
  }
}

/**
 * Registers the plug-in that carries the settings of this process.
 *
 * @example
 * ```ts
 * registerEntryPlugin(new EntryPlugin({ operatorKeyHash }));
 * ```
 */
export function registerEntryPlugin(plugin: EntryPlugin): Undo {
  return registerPlugin({
    name: "entry",
    roles: [Role.Entry],
    create: () => plugin,
  });
}

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
 * Registers the settings of the process as a service for the plug-ins of an
 * entry, and reports to the process whether the entry is ready.
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

  /** Version of the configuration in force; 0 before registration. */
  get configurationVersion(): number {
    return this.#kernel?.read(CONFIGURATION).current.version ?? 0;
  }

  /** Returns whether the entry accepts calls at `now`, in the loop's time. */
  isReady(now: number): boolean {
    return this.#kernel !== undefined && isAdmitting(this.#kernel, now);
  }
}

/**
 * Registers a plug-in instance that was created with the settings of this
 * process.
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

import { invariant } from "./invariant.ts";
import type { Plugin, Undo } from "./plugin.ts";

/** The kinds of node that a plug-in can run on. */
export enum Role {
  Entry = "entry",
  Scheduler = "scheduler",
  /** Entry and scheduler in one process, for fleets of small instances. */
  Combined = "combined",
}

/** What a plug-in registers when its module is imported. */
export interface PluginRegistration {
  readonly name: string;
  readonly roles: readonly Role[];
  readonly create: () => Plugin;
}

const registrations = new Map<string, PluginRegistration>();

/**
 * Registers a plug-in for every kernel created later. Called at the top level
 * of the plug-in's module, so a binary selects its plug-ins by its imports.
 *
 * @example
 * ```ts
 * registerPlugin({
 *   name: "quarantine",
 *   roles: [Role.Scheduler],
 *   create: () => new QuarantinePlugin(),
 * });
 * ```
 */
export function registerPlugin(registration: PluginRegistration): Undo {
  const { name } = registration;
  invariant(!registrations.has(name), `plug-in ${name} is registered twice`);
  registrations.set(name, registration);
  return () => {
    registrations.delete(name);
  };
}

/**
 * Creates the plug-ins registered for `role`, in order of registration.
 *
 * @example
 * ```ts
 * const kernel = new Kernel({ plugins: createPlugins(Role.Entry) });
 * ```
 */
export function createPlugins(role: Role): Plugin[] {
  return [...registrations.values()]
    .filter((registration) => registration.roles.includes(role))
    .map((registration) => registration.create());
}

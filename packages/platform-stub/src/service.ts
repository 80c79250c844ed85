import type { Platform } from "./platform.ts";

/** A part of the platform with routes of its own. */
export abstract class PlatformService {
  /** Adds the routes to `platform`, which keeps them to its end. */
  abstract register(platform: Platform): void;
}

/** How a service announces itself when its module is imported. */
export interface ServiceRegistration {
  readonly name: string;
  readonly create: () => PlatformService;
}

const registrations = new Map<string, ServiceRegistration>();

/**
 * Announces a service to every platform created later and returns the
 * function undoing it.
 *
 * @example
 * ```ts
 * registerService({ name: "table", create: () => new TableService() });
 * ```
 */
export function registerService(registration: ServiceRegistration): () => void {
  registrations.set(registration.name, registration);
  return () => {
    registrations.delete(registration.name);
  };
}

/**
 * Creates the registered services, in order of registration.
 *
 * @example
 * ```ts
 * createServices().forEach((service) => service.register(platform));
 * ```
 */
export function createServices(): readonly PlatformService[] {
  return [...registrations.values()].map(({ create }) => create());
}

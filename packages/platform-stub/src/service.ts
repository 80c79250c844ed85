import type { Platform } from "./platform.ts";

/** A plug-in of the platform that adds its own routes. */
export abstract class PlatformService {
  /** Adds the routes to `platform`; they are never removed. */
  abstract register(platform: Platform): void;
}

/** The registration that a service makes when its module is imported. */
export interface ServiceRegistration {
  readonly name: string;
  readonly create: () => PlatformService;
}

const registrations = new Map<string, ServiceRegistration>();

/**
 * Registers a service for all platforms created later. Returns a function that
 * unregisters it.
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
 * Creates an instance of each registered service, in order of registration.
 *
 * @example
 * ```ts
 * createServices().forEach((service) => service.register(platform));
 * ```
 */
export function createServices(): readonly PlatformService[] {
  return [...registrations.values()].map(({ create }) => create());
}

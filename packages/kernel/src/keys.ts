/** Identifies a piece of kernel state and carries its type. */
export interface StateKey<State> {
  readonly name: string;
  /** @internal Only carries the state's type; never set. */
  readonly stateType?: State;
}

/** Identifies a service: a plug-in's implementation of an abstract class. */
export interface ServiceKey<Service> {
  readonly name: string;
  /** @internal Only carries the service's type; never set. */
  readonly serviceType?: Service;
}

/**
 * Creates a state key. Keys are compared by identity.
 *
 * @example
 * ```ts
 * const QUEUE_STATE = createStateKey<QueueState>("queue");
 * kernel.registerState(QUEUE_STATE, { jobs: new Map() });
 * ```
 */
export function createStateKey<State>(name: string): StateKey<State> {
  return { name };
}

/**
 * Creates a service key. Keys are compared by identity.
 *
 * @example
 * ```ts
 * const PLACEMENT = createServiceKey<PlacementPolicy>("placement");
 * kernel.registerService(PLACEMENT, new BestFitPolicy());
 * ```
 */
export function createServiceKey<Service>(name: string): ServiceKey<Service> {
  return { name };
}

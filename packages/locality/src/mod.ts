/**
 * How long a task waits for room in its preferred rack.
 *
 * @module
 */
export {};

/**
 * Sessions of the domain's owner with the workers: leases, orders, listings
 * and the ends of attempts that these report.
 *
 * @module
 */
export { evidenceFields, LEASE_MS } from "./leases.ts";
export {
  OWNER_FENCED,
  startAttempt,
  type StartOptions,
  stopAttempt,
} from "./orders.ts";
export { recordFoundAttempt } from "./listings.ts";
export * from "./session_state.ts";
export * from "./sessions_plugin.ts";

/**
 * Permits of the external placement policy: which workers to query it about,
 * through which node, and the permits it has granted.
 *
 * @module
 */
export * from "./permits_state.ts";
export * from "./permits_plugin.ts";
export {
  dropPermits,
  findValidPermit,
  invalidatePermit,
  invalidateWorkerPermits,
  queryPermits,
  stagePermits,
} from "./queries.ts";

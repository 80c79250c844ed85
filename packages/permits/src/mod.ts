/**
 * Permits of the external placement policy: whom to ask, through which node,
 * and what is known of the answers.
 *
 * @module
 */
export * from "./permits_state.ts";
export * from "./permits_plugin.ts";
export {
  askPermits,
  dropPermits,
  heldPermit,
  stagePermits,
  voidPermit,
} from "./questions.ts";

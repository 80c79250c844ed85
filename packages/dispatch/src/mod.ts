/**
 * Runs the stages of jobs: chooses which task starts next and on which worker,
 * and handles the end of each attempt.
 *
 * @module
 */
export * from "./dispatch_plugin.ts";
export { DISPATCH_STATE } from "./dispatch_state.ts";
export { runPlacementPass } from "./placement_pass.ts";

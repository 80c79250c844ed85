/**
 * Runs the stages of jobs: chooses which task starts next and on which worker,
 * and handles the end of each attempt.
 *
 * @module
 */
export { CANDIDATES } from "./candidate_index.ts";
export {
  DISPATCH_STATE,
  findTask,
  isOpen,
  reservedSize,
  type StageRun,
  taskName,
  TaskPhase,
  type TaskRun,
} from "./dispatch_state.ts";
export * from "./dispatch_plugin.ts";
export { WORKER_HEALTH } from "./health.ts";
export { stopTask } from "./progress.ts";
export { runPlacementPass } from "./placement_pass.ts";

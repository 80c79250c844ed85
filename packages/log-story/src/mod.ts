/**
 * Explains jobs from the log lines of all nodes: the story of one, and where
 * the time of many went.
 *
 * @module
 */
export * from "./breakdown.ts";
export * from "./log_lines.ts";
export * from "./story.ts";

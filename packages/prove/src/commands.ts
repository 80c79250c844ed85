export * from "./commands/command.ts";
export { editLatest } from "./commands/edits.ts";
export * from "./commands/table.ts";
export { sendSubmission, STRANGER } from "./commands/work.ts";

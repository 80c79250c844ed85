export * from "./commands/command.ts";
export { editConfiguration } from "./commands/edits.ts";
export * from "./commands/table.ts";
export { sendSubmission, UNKNOWN_CALLER } from "./commands/work.ts";

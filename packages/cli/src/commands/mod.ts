export * from "./command_group.ts";
export * from "./edit_commands.ts";
export * from "./key_commands.ts";
export * from "./submit_command.ts";
export * from "./job_commands.ts";
export * from "./report_commands.ts";
export * from "./top_command.ts";
export * from "./completion_commands.ts";

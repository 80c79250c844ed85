export * from "./announcement.ts";
export * from "./checks.ts";
export * from "./document.ts";
export * from "./edit_request.ts";
export * from "./editor.ts";
export * from "./follower.ts";
export * from "./section_edit.ts";
export * from "./state.ts";

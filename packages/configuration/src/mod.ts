/**
 * Polls the versioned configuration in the platform's table and edits it, one
 * section at a time.
 *
 * @module
 */
export * from "./announcement.ts";
export * from "./checks.ts";
export * from "./document.ts";
export * from "./edit_request.ts";
export * from "./editor.ts";
export * from "./follower.ts";
export * from "./retired.ts";
export * from "./section_edit.ts";
export * from "./state.ts";

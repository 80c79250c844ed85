export * from "./slice_plugin.ts";
export * from "./slice_state.ts";

export * from "./home_plugin.ts";
export * from "./home_state.ts";
export * from "./work_events.ts";

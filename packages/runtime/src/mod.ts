export * from "./event_loop.ts";
export * from "./performer.ts";

export * from "./state.ts";

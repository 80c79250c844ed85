export * from "./ownership.ts";
export * from "./peers.ts";

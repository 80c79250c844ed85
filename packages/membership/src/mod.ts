export * from "./claim_plugin.ts";
export * from "./follower_plugin.ts";
export * from "./heartbeat_plugin.ts";
export * from "./majority.ts";
export * from "./owned.ts";
export * from "./ownership.ts";
export * from "./peers.ts";
export * from "./rendezvous.ts";

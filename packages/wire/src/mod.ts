export * from "./codec.ts";
export * from "./errors.ts";
export * from "./link_performer.ts";
export type { ListenAddress } from "./link_server.ts";

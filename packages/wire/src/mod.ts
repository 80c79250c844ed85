/**
 * Links between nodes: one connect-es stream for each pair of nodes, the codec
 * for the messages in its frames, and the performer that sends them.
 *
 * @module
 */
export * from "./codec.ts";
export * from "./errors.ts";
export * from "./link_performer.ts";
export type { ListenAddress } from "./link_server.ts";

/**
 * Ownership of the scheduling domain: claims, epochs, durable changes and the
 * planned hand-over.
 *
 * @module
 */
export { livePeers } from "./nodes.ts";
export { loseTenure } from "./commits.ts";
export * from "./tenure_plugin.ts";
export * from "./tenure_state.ts";

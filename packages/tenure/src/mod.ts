/**
 * Ownership of the scheduling domain: claims, epochs, commits of changes and
 * planned hand-over.
 *
 * @module
 */
export { allReadSettled, liveNodes, liveStandbys } from "./nodes.ts";
export { loseTenure } from "./commits.ts";
export { identifyOwner, OwnerProcess } from "./owner_process.ts";
export * from "./tenure_plugin.ts";
export * from "./tenure_state.ts";

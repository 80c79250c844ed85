/** Largest frame that a node accepts, in bytes. */
export const MAX_READ_BYTES = 64 * 1024 * 1024;

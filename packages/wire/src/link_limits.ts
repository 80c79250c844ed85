/** Largest frame that is read, in bytes. */
export const MAX_READ_BYTES = 64 * 1024 * 1024;

/**
 * Room on workers that is held for gangs and wide tasks.
 *
 * @module
 */
export {};

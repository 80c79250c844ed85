/**
 * Moves work off workers that have announced their departure.
 *
 * @module
 */
export {};

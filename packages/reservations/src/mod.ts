/**
 * Room on workers that is held for gangs and wide tasks.
 *
 * @module
 */
export * from "./permits_ahead.ts";
export * from "./plan.ts";
export * from "./policies.ts";
export * from "./reservation.ts";
export * from "./reservation_book.ts";
export * from "./reservations_plugin.ts";

export * from "./burn_reply.ts";
export * from "./html.ts";
export * from "./plot.ts";
export * from "./text.ts";

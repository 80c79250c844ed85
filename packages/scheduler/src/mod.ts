export * from "./settings.ts";

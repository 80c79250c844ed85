export * from "./oracle.ts";
export * from "./point.ts";
export * from "./prover.ts";
export * from "./scenario.ts";

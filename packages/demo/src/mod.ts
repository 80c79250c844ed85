export * from "./cluster.ts";
export * from "./fleet_file.ts";

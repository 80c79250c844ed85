export * from "./detectors.ts";
export * from "./evidence_detector.ts";
export * from "./fault_detector.ts";
export * from "./plugin.ts";
export * from "./quarantine_log.ts";

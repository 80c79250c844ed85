/**
 * Detects instances on which tasks of several teams fail, and probes them until
 * they have recovered.
 *
 * @module
 */
export * from "./detectors.ts";
export * from "./evidence_detector.ts";
export * from "./fault_detector.ts";
export * from "./plugin.ts";
export * from "./probe_schedule.ts";

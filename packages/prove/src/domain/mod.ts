/**
 * Simulated cluster of combined nodes, with the plug-ins of their binary, for
 * measurements in other packages.
 *
 * @module
 */
import "./plugins.ts";
export {
  DomainCluster,
  type DomainClusterOptions,
  type PermitJudgement,
} from "./domain_cluster.ts";
export type { KernelEvent } from "../simulation/node.ts";

/** Reads the configuration from the store and from nodes. */
import {
  CONFIGURATION,
  isConfirmed,
  parseDocument,
} from "@mustardweir/configuration";
import { type Configuration, EMPTY_CONFIGURATION } from "@mustardweir/model";
import type { Probe } from "../history.ts";
import type { SimulatedNode } from "./node.ts";

/** Returns the configuration that a row of the table refers to. */
export function readConfiguration(
  row: string,
  objects: ReadonlyMap<string, string>,
): Configuration {
  const { version, sections } = parseDocument(row)._unsafeUnwrap();
  const bodies = Object.entries(sections).map(([section, key]) => [
    section,
    JSON.parse(objects.get(key) ?? "null"),
  ]);
  return { ...EMPTY_CONFIGURATION, ...Object.fromEntries(bodies), version };
}

/** Reads what a node has in force at the virtual time `at`, in ms. */
export function probeNode(node: SimulatedNode, at: number): Probe {
  const state = node.kernel.read(CONFIGURATION);
  return {
    at,
    nodeId: node.nodeId,
    incarnation: node.identity.incarnation,
    version: state.current.version,
    isConfirmed: isConfirmed(state, node.localClock.now()),
  };
}

/** Reads the pages under `docs/` and the shell blocks in them. */
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const ROOT = new URL("../../../../", import.meta.url);

/** Which shell blocks of a page a test runs. */
export enum BlockMark {
  /** Starts the fleet that other pages use. */
  Fleet = "sh run fleet",
  /** Runs while the fleet is up. */
  Run = "sh run",
  /** Ends the fleet. */
  Stop = "sh run stop",
}

/** A fenced block of a page. */
export interface Block {
  /** All that stands behind the opening fence. */
  readonly info: string;
  readonly text: string;
}

/** Path of a file by its path from the root of the repository. */
export function rootPath(path: string): string {
  return fileURLToPath(new URL(path, ROOT));
}

/** Text of a page by its path from the root of the repository. */
export function readPage(path: string): string {
  return readFileSync(rootPath(path), "utf8");
}

/**
 * The fenced blocks of a page in their order.
 *
 * @example
 * ```ts
 * const blocks = readBlocks(readPage("docs/START.md"));
 * ```
 */
export function readBlocks(page: string): Block[] {
  const fenced = /^```([^\n]*)\n(.*?)^```$/gms;
  return [...page.matchAll(fenced)].map(([, info = "", text = ""]) => ({
    info: info.trim(),
    text,
  }));
}

/** One script of the blocks that have one of the marks. */
export function joinBlocks(
  blocks: readonly Block[],
  marks: readonly BlockMark[],
): string {
  return blocks
    .filter(({ info }) => (marks as readonly string[]).includes(info))
    .map(({ text }) => text)
    .join("\n");
}

/** Reads the pages under `docs/` and the shell blocks in them. */
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const ROOT = new URL("../../../../", import.meta.url);

/** The info strings of the shell blocks that tests run. */
export enum BlockMark {
  /** Starts the fleet that the blocks of all pages use. */
  Fleet = "sh run fleet",
  /** Runs while the fleet is running. */
  Run = "sh run",
  /** Stops the fleet. */
  Stop = "sh run stop",
}

/** A fenced code block of a page. */
export interface Block {
  /** The info string after the opening fence. */
  readonly info: string;
  readonly text: string;
}

/** Returns the absolute path for a path from the root of the repository. */
export function rootPath(path: string): string {
  return fileURLToPath(new URL(path, ROOT));
}

/** Reads a page by its path from the root of the repository. */
export function readPage(path: string): string {
  return readFileSync(rootPath(path), "utf8");
}

/**
 * Returns the fenced code blocks of a page in their order.
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

/** Joins the blocks that have one of the marks into one script. */
export function joinBlocks(
  blocks: readonly Block[],
  marks: readonly BlockMark[],
): string {
  return blocks
    .filter(({ info }) => (marks as readonly string[]).includes(info))
    .map(({ text }) => text)
    .join("\n");
}

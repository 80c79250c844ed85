/** Finds in the sources what the processes count, measure and log. */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { rootPath } from "./page.ts";

/** Packages whose processes do not belong to the product. */
const OTHER_PACKAGES: readonly string[] = [
  "bench",
  "demo",
  "failure-tests",
  "platform-stub",
  "prove",
  "worker",
];

/** A text in double quotes or a template. */
const TEXT = /(?:"([^"]+)"|`([^`]+)`)/.source;

/** Calls that name a counter; those of the burn report's tallies do not. */
const COUNTER_CALL = new RegExp(`(?<!tally\\.)\\bcount\\(\\s*${TEXT}`, "g");

/** Calls that name a histogram. */
const HISTOGRAM_CALL = new RegExp(`\\bobserve\\(\\s*${TEXT}`, "g");

/** Calls that name a gauge. */
const GAUGE_CALL = new RegExp(`\\bgauge\\(\\s*${TEXT}`, "g");

/** Calls that log a change of state, or write a line of their own. */
const LOG_CALL = new RegExp(
  `\\b(?:logChange|logger\\??\\.(?:info|warn|error))\\(\\s*${TEXT}`,
  "g",
);

/** What the sources name, each once, in the order of the alphabet. */
export interface SourceWords {
  /** With `*` for parts that are known only at run time. */
  readonly counters: readonly string[];
  readonly histograms: readonly string[];
  readonly gauges: readonly string[];
  readonly messages: readonly string[];
}

/**
 * Scans the product's sources.
 *
 * @example
 * ```ts
 * const { counters } = scanSources();
 * ```
 */
export function scanSources(): SourceWords {
  const texts = listSources().map((path) => readFileSync(path, "utf8"))
    .map(withoutComments);
  return {
    counters: findWords(texts, COUNTER_CALL).map(metricWord),
    histograms: findWords(texts, HISTOGRAM_CALL).map(metricWord),
    gauges: findWords(texts, GAUGE_CALL).map(metricWord),
    messages: findWords(texts, LOG_CALL),
  };
}

function listSources(): string[] {
  const packages = rootPath("packages");
  return readdirSync(packages)
    .filter((name) => !OTHER_PACKAGES.includes(name))
    .flatMap((name) => listFiles(join(packages, name, "src")))
    .filter((path) => path.endsWith(".ts") && !path.endsWith("_test.ts"));
}

function listFiles(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    return entry.isDirectory() ? listFiles(path) : [path];
  });
}

function withoutComments(text: string): string {
  return text.replaceAll(/\/\*.*?\*\//gs, "");
}

function findWords(texts: readonly string[], pattern: RegExp): string[] {
  const words = texts.flatMap((text) =>
    [...text.matchAll(pattern)].map(([, quoted, template = ""]) =>
      (quoted ?? template).replaceAll(/\$\{.*?\}/g, "*")
    )
  );
  return [...new Set(words)].sort();
}

/** The name as it is shown at `/metrics`, without prefix and suffix. */
function metricWord(word: string): string {
  return word.replaceAll(/[^a-zA-Z0-9_*]/g, "_");
}

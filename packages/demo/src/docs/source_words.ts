/** Finds the names of metrics and the log messages in the sources. */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { rootPath } from "./page.ts";

/** Packages that are not part of the product. */
const OTHER_PACKAGES: readonly string[] = [
  "bench",
  "demo",
  "failure-tests",
  "platform-stub",
  "prove",
  "worker",
];

/** Matches a string in double quotes or a template literal. */
const TEXT = /(?:"([^"]+)"|`([^`]+)`)/.source;

/** Matches calls that name a counter, but not `tally.count` (burn report). */
const COUNTER_CALL = new RegExp(`(?<!tally\\.)\\bcount\\(\\s*${TEXT}`, "g");

/** Matches calls that name a histogram. */
const HISTOGRAM_CALL = new RegExp(`\\bobserve\\(\\s*${TEXT}`, "g");

/** Matches calls that set or raise a gauge. */
const GAUGE_CALL = new RegExp(`\\b(?:gauge|raise)\\(\\s*${TEXT}`, "g");

/** Matches calls that log a change of state or another message. */
const LOG_CALL = new RegExp(
  `\\b(?:logChange|logger\\??\\.(?:info|warn|error))\\(\\s*${TEXT}`,
  "g",
);

/** The names and messages in the sources, sorted and without duplicates. */
export interface SourceWords {
  /** With `*` for parts that are computed at run time. */
  readonly counters: readonly string[];
  readonly histograms: readonly string[];
  readonly gauges: readonly string[];
  readonly messages: readonly string[];
}

/**
 * Scans the sources of the product.
 *
 * @example
 * ```ts
 * const { counters } = scanSources();
 * ```
 */
export function scanSources(): SourceWords {
  const texts = listSources().map((path) => readFileSync(path, "utf8"))
    .map(removeComments);
  return {
    counters: findWords(texts, COUNTER_CALL).map(formatMetricName),
    histograms: findWords(texts, HISTOGRAM_CALL).map(formatMetricName),
    gauges: findWords(texts, GAUGE_CALL).map(formatMetricName),
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

function removeComments(text: string): string {
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

/** Returns the name as shown at `/metrics`, without prefix and suffix. */
function formatMetricName(word: string): string {
  return word.replaceAll(/[^a-zA-Z0-9_*]/g, "_");
}

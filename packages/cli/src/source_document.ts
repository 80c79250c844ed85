import { readFileSync } from "node:fs";
import { err, ok, Result } from "neverthrow";
import {
  type Document,
  isMap,
  isNode,
  isPair,
  isSeq,
  LineCounter,
  parseAllDocuments,
} from "yaml";
import type { z } from "zod";
import { type CliError, ExitCode, fail } from "./cli_error.ts";

type Path = readonly PropertyKey[];

/** Fields that can identify an item of a list, in order of preference. */
const NAME_FIELDS = ["name", "id", "team"] as const;

/** A YAML or JSON document with the line numbers of its fields. */
export class SourceDocument {
  readonly path: string;
  readonly value: unknown;
  readonly #document: Document;
  readonly #lines: LineCounter;

  constructor(options: {
    readonly path: string;
    readonly value: unknown;
    readonly document: Document;
    readonly lines: LineCounter;
  }) {
    this.path = options.path;
    this.value = options.value;
    this.#document = options.document;
    this.#lines = options.lines;
  }

  /**
   * Returns the document with another value, such as one to which command-line
   * flags were added. Line numbers still refer to the file.
   */
  withValue(value: unknown): SourceDocument {
    return new SourceDocument({
      path: this.path,
      value,
      document: this.#document,
      lines: this.#lines,
    });
  }

  /**
   * Validates the document. The error contains the file, line and field of the
   * first issue.
   */
  check<Value>(schema: z.ZodType<Value>): Result<Value, CliError> {
    const parsed = schema.safeParse(this.value);
    if (parsed.success) {
      return ok(parsed.data);
    }
    const issue = parsed.error.issues[0];
    const unknown = issue?.code === "unrecognized_keys" ? issue.keys : [];
    const path = [...issue?.path ?? [], ...unknown.slice(0, 1)];
    const message = unknown.length > 0 ? "unknown field" : issue?.message;
    return err({
      exitCode: ExitCode.Usage,
      message: this.describeIssue(path, message ?? "invalid"),
    });
  }

  /**
   * Returns one line that describes an issue at `path`.
   *
   * @example
   * ```ts
   * document.describeIssue(["teams", 0, "share"], "Too small");
   * // "rules.yaml:3: teams.0.share (imaging): Too small"
   * ```
   */
  describeIssue(path: Path, message: string): string {
    const field = path.map(String).join(".") || "document";
    const owner = this.#itemName(path);
    const place = owner === undefined ? field : `${field} (${owner})`;
    return `${this.path}:${this.#lineOf(path)}: ${place}: ${message}`;
  }

  /** Returns the line of the longest prefix of `path` in the document. */
  #lineOf(path: Path): number {
    let node: unknown = this.#document.contents;
    let offset = rangeStart(node) ?? 0;
    for (const step of path) {
      const child = childOf(node, step);
      if (child === undefined) {
        break;
      }
      offset = child.offset ?? offset;
      node = child.node;
    }
    return this.#lines.linePos(offset).line;
  }

  /** Returns the name of the innermost list item that contains `path`. */
  #itemName(path: Path): string | undefined {
    let value = this.value;
    let found: string | undefined;
    for (const step of path) {
      value = (value as Record<PropertyKey, unknown> | undefined)?.[step];
      if (typeof step === "number" && value instanceof Object) {
        const fields = value as Record<string, unknown>;
        const name = NAME_FIELDS.map((field) => fields[field]).find(isText);
        found = name ?? found;
      }
    }
    return found;
  }
}

/** Reads the documents of a YAML or JSON file. */
export function readDocuments(
  path: string,
): Result<SourceDocument[], CliError> {
  return readText(path).andThen((text) => parseDocuments(text, path));
}

/** Parses the documents of a text; errors contain `path`. */
export function parseDocuments(
  text: string,
  path: string,
): Result<SourceDocument[], CliError> {
  const lines = new LineCounter();
  const documents = parseAllDocuments(text, {
    lineCounter: lines,
    logLevel: "error",
  });
  return Result.combine([...documents].map((document) => {
    const parseError = document.errors[0];
    if (parseError !== undefined) {
      const line = parseError.linePos?.[0].line ?? 1;
      const message = parseError.message.split("\n")[0]?.replace(
        / at line.*$/,
        "",
      );
      return fail<SourceDocument>(
        ExitCode.Usage,
        `${path}:${line}: ${message}`,
      );
    }
    return toValue(document, path).map((value) =>
      new SourceDocument({ path, value, document, lines })
    );
  }));
}

/** Converts to a value; fails if aliases expand to an excessive size. */
function toValue(document: Document, path: string): Result<unknown, CliError> {
  try {
    return ok(document.toJS() as unknown);
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return fail(ExitCode.Usage, `${path}: ${reason}`);
  }
}

/** Reads a text file; the error contains its path. */
export function readText(path: string): Result<string, CliError> {
  try {
    return ok(readFileSync(path, "utf8"));
  } catch (cause) {
    const code = (cause as NodeJS.ErrnoException).code ?? "unknown error";
    return fail(ExitCode.Usage, `${path}: can't be read (${code})`);
  }
}

interface Child {
  readonly node: unknown;
  readonly offset?: number;
}

function childOf(node: unknown, step: PropertyKey): Child | undefined {
  if (isSeq(node)) {
    const item = node.items[Number(step)];
    return item === undefined
      ? undefined
      : { node: item, offset: rangeStart(item) };
  }
  if (!isMap(node)) {
    return undefined;
  }
  const pair = node.items.find((item) =>
    isPair(item) && String(item.key) === String(step)
  );
  return pair && { node: pair.value, offset: rangeStart(pair.key) };
}

function rangeStart(node: unknown): number | undefined {
  return isNode(node) ? node.range?.[0] : undefined;
}

function isText(value: unknown): value is string {
  return typeof value === "string";
}

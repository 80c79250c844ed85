import * as z from "zod";

const schema = z.looseObject({
  time: z.iso.datetime(),
  node: z.string(),
  message: z.string(),
  fields: z.record(
    z.string(),
    z.union([z.string(), z.number(), z.boolean()]),
  ).default({}),
});

/** One line of a node's log. */
export interface LogLine {
  /** Time by the node's clock, in Unix milliseconds. */
  readonly timeMs: number;
  readonly node: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** The log lines of one or more files, ordered by time. */
export interface LogLines {
  readonly lines: readonly LogLine[];
  /** Line numbers, from 1, of the records that can't be parsed. */
  readonly damaged: readonly number[];
}

/**
 * Parses log lines. Text before the JSON record of a line is ignored, and so
 * are lines without a record.
 *
 * @example
 * ```ts
 * const { lines, damaged } = readLogLines(readFileSync("node.log", "utf8"));
 * ```
 */
export function readLogLines(text: string): LogLines {
  const lines: LogLine[] = [];
  const damaged: number[] = [];
  text.split("\n").forEach((line, index) => {
    const start = line.indexOf('{"time"');
    if (start < 0) {
      return;
    }
    const record = readRecord(line.slice(start));
    if (record === undefined) {
      damaged.push(index + 1);
    } else {
      lines.push(record);
    }
  });
  return { lines: lines.sort((a, b) => a.timeMs - b.timeMs), damaged };
}

function readRecord(text: string): LogLine | undefined {
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    return parsed.success
      ? {
        timeMs: Date.parse(parsed.data.time),
        node: parsed.data.node,
        message: parsed.data.message,
        fields: parsed.data.fields,
      }
      : undefined;
  } catch {
    return undefined;
  }
}

/** Fields with the id of a job, or of a part of a job. */
const JOB_FIELDS = ["job", "task", "stage"] as const;

/** Returns the id of the job that a line refers to, if any. */
export function findJobId({ fields }: LogLine): string | undefined {
  for (const name of JOB_FIELDS) {
    const value = fields[name];
    if (typeof value === "string") {
      return value.split(".")[0];
    }
  }
  return undefined;
}

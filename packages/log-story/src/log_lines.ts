import { z } from "zod";

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
  /** Unix milliseconds of the node's clock. */
  readonly timeMs: number;
  readonly node: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** The lines of one or more files, in order of time. */
export interface LogLines {
  readonly lines: readonly LogLine[];
  /** Lines that hold a record that can't be read, by their numbers. */
  readonly damaged: readonly number[];
}

/**
 * Reads log lines. What stands before the record on a line is left out, and
 * so are lines without one.
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

/** Fields that name a job, or something of a job. */
const JOB_FIELDS = ["job", "task", "stage"] as const;

/** The job that a line is about; undefined when it is about none. */
export function jobOf({ fields }: LogLine): string | undefined {
  for (const name of JOB_FIELDS) {
    const value = fields[name];
    if (typeof value === "string") {
      return value.split(".")[0];
    }
  }
  return undefined;
}

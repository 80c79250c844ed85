import { logChange } from "@mustardweir/protocol";
import { expect } from "chai";
import {
  createLogger,
  LogFormat,
  type Logger,
  LogLevel,
  LogPerformer,
} from "./mod.ts";

const TIME = "<time>";

interface LoggerCase {
  readonly name: string;
  readonly format?: LogFormat;
  readonly level?: LogLevel;
  readonly act: (logger: Logger) => void;
  /** Expected lines, with the time of each replaced. */
  readonly lines: readonly string[];
}

const LOGGER_CASES: readonly LoggerCase[] = [
  {
    name: "a JSON line",
    format: LogFormat.Json,
    act: (logger) => logger.info("Zone closed", { zone: "tx-a", tasks: 3 }),
    lines: [
      `{"time":"${TIME}","level":"info","node":"s1",` +
      `"message":"Zone closed","fields":{"zone":"tx-a","tasks":3}}`,
    ],
  },
  {
    name: "a line of text",
    act: (logger) => logger.warn("Zone closed", { zone: "tx-a", tasks: 3 }),
    lines: [`${TIME} WARN s1 Zone closed zone="tx-a" tasks=3`],
  },
  {
    name: "no lines below its level",
    level: LogLevel.Warn,
    act: (logger) => {
      logger.debug("a");
      logger.info("b");
      logger.warn("c");
      logger.error("d");
    },
    lines: [`${TIME} WARN s1 c`, `${TIME} ERROR s1 d`],
  },
  {
    name: "every line, even if it repeats",
    act: (logger) => Array.from({ length: 9 }, () => logger.info("again")),
    lines: Array.from({ length: 9 }, () => `${TIME} INFO s1 again`),
  },
  {
    name: "a line for each change of state",
    act: (logger) =>
      new LogPerformer(logger).perform(logChange("Took slice", { epoch: 2 })),
    lines: [`${TIME} INFO s1 Took slice epoch=2`],
  },
];

describe("Logger", () => {
  for (const { name, format, level, act, lines } of LOGGER_CASES) {
    it(`writes ${name}`, () => {
      const written: string[] = [];
      const write = (line: string) => written.push(line);
      act(createLogger({ node: "s1", format, level, write }));
      const seen = written.map((line) =>
        line.replace(/\d{4}-\d\d-\d\dT[\d:.]+Z/, TIME)
      );
      expect(seen).to.deep.equal(lines.map((line) => `${line}\n`));
    });
  }
});

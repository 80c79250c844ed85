/** Entry point of the command `mustardweir`. */
import { runCli } from "./mod.ts";

process.exitCode = await runCli({
  argv: process.argv.slice(2),
  print: (line) => process.stdout.write(`${line}\n`),
  printError: (line) => process.stderr.write(`${line}\n`),
  isTerminal: process.stdout.isTTY,
  onInterrupt: (listener) => {
    process.once("SIGINT", listener);
    return () => process.off("SIGINT", listener);
  },
});

/** Entry point of the demo: `npm run demo -- --fleet salamavahti`. */
import { Command, Option } from "commander";
import { runDemo } from "./demo.ts";
import { FleetName, readFleet } from "./fleet_file.ts";

interface Flags {
  readonly fleet: FleetName;
  readonly seed: string;
  readonly logs: boolean;
}

const command = new Command("demo")
  .description(
    "Runs the whole system on this machine under a day's mix of jobs",
  )
  .addOption(
    new Option("--fleet <name>", "which example fleet to run")
      .choices(Object.values(FleetName))
      .default(FleetName.LoneStar),
  )
  .option("--seed <number>", "seed of the workload", "1")
  .option("--logs", "print the log lines of all processes", false)
  .parse();

const flags = command.opts<Flags>();
const isClean = await runDemo({
  fleet: readFleet(flags.fleet),
  seed: Number.parseInt(flags.seed, 10),
  onLog: (name, line) => flags.logs && console.error(`${name}: ${line}`),
});
process.exitCode = isClean ? 0 : 1;

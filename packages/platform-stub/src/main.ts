/** Entry point of the binary mustardweir-platform. */
import { consola } from "consola";
import { PlatformServer, type ServerOptions } from "./mod.ts";
import { readSettings, type SettingsError } from "./settings.ts";

const EXIT_FAILURE = 1;

function main(): void {
  logToStandardError();
  readSettings(process.argv.slice(2)).match(serve, exitWithError);
}

/** Keeps standard output free for the line with the address. */
function logToStandardError(): void {
  consola.options.stdout = process.stderr;
}

function exitWithError({ message, exitCode }: SettingsError): void {
  if (message !== "") {
    process.stderr.write(`${message}\n`);
  }
  process.exitCode = exitCode;
}

function serve(options: ServerOptions): void {
  const server = new PlatformServer(options);
  const stop = () => void server.close();
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
  server.listen().then(announce, fail);
}

function announce(url: string): void {
  process.stdout.write(`listening on ${url}\n`);
}

function fail(err: Error): void {
  process.stderr.write(`Can't listen: ${err.message}\n`);
  process.exitCode = EXIT_FAILURE;
}

main();

import { fileURLToPath } from "node:url";
import { Child } from "./child.ts";

/** The binaries that a cluster consists of. */
export enum Binary {
  Platform = "platform",
  Worker = "worker",
  Entry = "entry",
  Scheduler = "scheduler",
}

/** The binary to start, with the name for its log lines. */
export interface LaunchOptions {
  readonly name: string;
  readonly binary: Binary;
  readonly args: readonly string[];
}

/** Path of the script that starts a binary. */
export function scriptOf(binary: Binary): string {
  const folder = binary === Binary.Platform ? "platform-stub" : binary;
  const path = `../../${folder}/bin/mustardweir-${binary}.js`;
  return fileURLToPath(new URL(path, import.meta.url));
}

/** Starts processes by name and ends them all. */
export class Launcher {
  readonly #children = new Map<string, Child>();
  readonly #endAll = () => this.#signalAll("SIGKILL");
  readonly #onLog: (name: string, line: string) => void;

  constructor(onLog: (name: string, line: string) => void = () => {}) {
    this.#onLog = onLog;
    process.once("exit", this.#endAll);
  }

  /** Starts a process and waits until it listens; returns the line it prints. */
  launch({ name, binary, args }: LaunchOptions): Promise<string> {
    const child = new Child({
      name,
      script: scriptOf(binary),
      args,
      onLine: (line) => this.#onLog(name, line),
    });
    this.#children.set(name, child);
    return child.ready();
  }

  child(name: string): Child {
    const child = this.#children.get(name);
    if (child === undefined) {
      throw new Error(`No process is named ${name}`);
    }
    return child;
  }

  /** Ends every process as planned, those whose name matches first. */
  async stop(first: RegExp): Promise<void> {
    process.off("exit", this.#endAll);
    const children = [...this.#children.values()];
    const stopAll = (some: readonly Child[]) =>
      Promise.all(some.map((child) => child.stop()));
    await stopAll(children.filter(({ name }) => first.test(name)));
    await stopAll(children.filter(({ name }) => !first.test(name)));
  }

  /** Ends every process by force. */
  async kill(): Promise<void> {
    process.off("exit", this.#endAll);
    this.#signalAll("SIGKILL");
    const children = [...this.#children.values()];
    await Promise.all(children.map((child) => child.exited()));
  }

  #signalAll(name: NodeJS.Signals): void {
    for (const child of this.#children.values()) {
      child.signal(name);
    }
  }
}

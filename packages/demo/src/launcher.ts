import { fileURLToPath } from "node:url";
import { Child } from "./child.ts";

/** The binaries that a cluster runs. */
export enum Binary {
  Platform = "platform",
  Worker = "worker",
  Entry = "entry",
  Scheduler = "scheduler",
}

/** The binary to start, and the name of the process. */
export interface LaunchOptions {
  readonly name: string;
  readonly binary: Binary;
  readonly args: readonly string[];
}

/** Returns the path of the script that starts a binary. */
export function scriptOf(binary: Binary): string {
  const folder = binary === Binary.Platform ? "platform-stub" : binary;
  const path = `../../${folder}/bin/mustardweir-${binary}.js`;
  return fileURLToPath(new URL(path, import.meta.url));
}

/** Starts named processes; kills the remaining ones when this process exits. */
export class Launcher {
  readonly #children = new Map<string, Child>();
  readonly #killAll = () => this.#signalAll("SIGKILL");
  readonly #onLog: (name: string, line: string) => void;

  constructor(onLog: (name: string, line: string) => void = () => {}) {
    this.#onLog = onLog;
    process.once("exit", this.#killAll);
  }

  /** Starts a process and waits until it listens; returns its ready line. */
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
      throw new Error(`There is no process ${name}`);
    }
    return child;
  }

  /** Stops all processes gracefully, those with a matching name first. */
  async stop(first: RegExp): Promise<void> {
    process.off("exit", this.#killAll);
    const children = [...this.#children.values()];
    const stopAll = (some: readonly Child[]) =>
      Promise.all(some.map((child) => child.stop()));
    await stopAll(children.filter(({ name }) => first.test(name)));
    await stopAll(children.filter(({ name }) => !first.test(name)));
  }

  /** Kills all processes and waits for their ends. */
  async kill(): Promise<void> {
    process.off("exit", this.#killAll);
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

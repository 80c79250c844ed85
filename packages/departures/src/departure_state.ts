import { createStateKey } from "@mustardweir/kernel";
import type { RoomNeed } from "./free_room.ts";
import type { Notice } from "./notice.ts";

/**
 * Most tasks whose move is remembered. A tenth of 245 workers with 16 tasks each
 * leaves 400 at a time; an entry takes about 250 bytes.
 */
export const MAX_MOVING = 1_000;
/**
 * Time for which a moved task keeps the room that it was promised from other
 * departing work, in milliseconds: a stop takes 900 ms, and a permit query up to
 * 2.5 s.
 */
export const MOVE_TIMEOUT_MS = 4_000;

/** What became of an attempt on a departing worker. */
export enum DepartureOutcome {
  /** It was done in time. */
  Finished = "finished",
  /** It was stopped and starts elsewhere. */
  Moved = "moved",
  /** It ended with its worker. */
  Lost = "lost",
}

/** A worker that has announced its departure; about 300 bytes. */
export interface Departure {
  notice: Notice;
  /** Whether the plan for its work has been logged. */
  isPlanned: boolean;
  /** When its registration was removed; undefined while it is registered. */
  unregisteredMs: number | undefined;
  /** Number of attempts there by what became of them. */
  readonly outcomes: Record<DepartureOutcome, number>;
}

/** A task that was stopped so that it starts elsewhere. */
export interface MovingTask {
  readonly attempt: number;
  readonly pool: string;
  readonly sinceMs: number;
  /** Room that it needs elsewhere; undefined if a gang member keeps its own. */
  readonly need: RoomNeed | undefined;
}

/** State of the departures plug-in. */
export interface DeparturesState {
  /** By worker; at most one for each registered worker. */
  readonly byWorker: Map<string, Departure>;
  /** By the task's name; at most {@link MAX_MOVING}. */
  readonly moving: Map<string, MovingTask>;
  /**
   * Time of the last reply about the workers, in milliseconds; undefined before
   * they are listed, and until the first reply after a suspension.
   */
  repliedMs: number | undefined;
  /** End of the machine's last suspension, in milliseconds. */
  resumedMs: number;
}

/** State key of the departures plug-in. */
export const DEPARTURES = createStateKey<DeparturesState>("departures");

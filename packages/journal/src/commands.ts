import { createCommand } from "@mustardweir/kernel";
import type { JournalRecord } from "./records.ts";

/** Opens the journal of a home and requests its records. */
export const OPEN_JOURNAL = createCommand<{
  readonly team: string;
  /** Epoch under which this node owns the home. */
  readonly epoch: number;
  /** Version of the ownership row; each write fails if it has changed. */
  readonly ownershipVersion: number;
}>("open-journal");

/** Dispatched when the journal of a home has been read. */
export const JOURNAL_OPENED = createCommand<{
  readonly team: string;
  readonly epoch: number;
  readonly records: readonly JournalRecord[];
}>("journal-opened");

/** Adds records; they are written with the next group commit. */
export const APPEND_JOURNAL = createCommand<{
  readonly team: string;
  readonly records: readonly JournalRecord[];
}>("append-journal");

/** Dispatched when records are durable. */
export const JOURNAL_COMMITTED = createCommand<{
  readonly team: string;
  readonly epoch: number;
  readonly records: readonly JournalRecord[];
}>("journal-committed");

/** Closes the journal of a home; uncommitted records may still be written. */
export const CLOSE_JOURNAL = createCommand<{ readonly team: string }>(
  "close-journal",
);

/** Requests from a home the records that make up its complete state. */
export const COMPOSE_SNAPSHOT = createCommand<{
  readonly team: string;
  readonly records: JournalRecord[];
}>("compose-snapshot");

import type { SyncCall, SyncResult } from "@mustardweir/protocol";

/** Makes sync calls to workers. */
export abstract class TargetClient {
  /**
   * Sends `call` to the worker at `address`. Never rejects: every failure,
   * including a timeout, is a result of kind `SyncResultKind.NoAnswer`.
   */
  abstract sync(
    address: string,
    call: SyncCall,
    timeoutMs: number,
  ): Promise<SyncResult>;

  /** Aborts calls in progress, which then fail as `NoAnswer`. */
  close(): Promise<void> {
    return Promise.resolve();
  }
}

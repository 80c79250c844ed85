import type { SyncCall, SyncResult } from "@mustardweir/protocol";

/** Makes sync calls to workers. */
export abstract class TargetClient {
  /**
   * Sends `call` to the worker at `address`. Never rejects: every failure,
   * the timeout included, is a result of kind `SyncResultKind.NoAnswer`.
   */
  abstract sync(
    address: string,
    call: SyncCall,
    timeoutMs: number,
  ): Promise<SyncResult>;

  /** Ends open calls; they get no answer. */
  close(): Promise<void> {
    return Promise.resolve();
  }
}

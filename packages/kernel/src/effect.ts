/**
 * A side effect that an update requests, such as a message, a write, an answer
 * or a count. The kernel only collects effects; the process's performers carry
 * them out after the update has been committed.
 */
export interface Effect {
  readonly kind: string;
}

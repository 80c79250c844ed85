/**
 * What an update asks the outside to do: send, write, answer, count. The
 * kernel only collects effects; performers of the process carry them out
 * after the update has been committed.
 */
export interface Effect {
  readonly kind: string;
}

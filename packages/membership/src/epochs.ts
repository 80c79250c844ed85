/**
 * The epochs of an owner and of its successors never coincide: the epoch of an
 * owner that claimed by a write is a multiple of the stride, and its successors
 * have reserved epochs in the stride that follows.
 */
export const EPOCH_STRIDE = 8;

/** Largest number of successors in an ownership row. */
export const MAX_SUCCESSORS = EPOCH_STRIDE - 1;

/** The epoch of the first owner of a unit. */
export const FIRST_EPOCH = EPOCH_STRIDE;

/** Returns the epoch of the next owner by a write, above all reserved ones. */
export function nextEpoch(epoch: number): number {
  return epoch === 0 ? FIRST_EPOCH : strideStart(epoch) + 2 * EPOCH_STRIDE;
}

/**
 * Returns the epoch reserved for a successor of the owner with `epoch`; ranks
 * start at 1.
 *
 * @example
 * ```ts
 * reservedEpoch(8, 1); // 17
 * nextEpoch(8); // 24
 * ```
 */
export function reservedEpoch(epoch: number, rank: number): number {
  return strideStart(epoch) + EPOCH_STRIDE + rank;
}

function strideStart(epoch: number): number {
  return Math.floor(epoch / EPOCH_STRIDE) * EPOCH_STRIDE;
}

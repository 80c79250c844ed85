/**
 * Epochs of one owner and of the successors that it names share no number:
 * owners' epochs are multiples of the stride, unless a successor has become
 * the owner, and successors take theirs from the stride that follows.
 */
export const EPOCH_STRIDE = 8;

/** Most successors that a row can name. */
export const MAX_SUCCESSORS = EPOCH_STRIDE - 1;

/** The epoch of the first owner of a unit. */
export const FIRST_EPOCH = EPOCH_STRIDE;

/** The epoch of the next owner by a write, above all that are reserved. */
export function nextEpoch(epoch: number): number {
  return epoch === 0 ? FIRST_EPOCH : strideOf(epoch) + 2 * EPOCH_STRIDE;
}

/**
 * The epoch reserved for a successor of the owner with `epoch`; ranks count
 * from 1.
 *
 * @example
 * ```ts
 * reservedEpoch(8, 1); // 17
 * nextEpoch(8); // 24
 * ```
 */
export function reservedEpoch(epoch: number, rank: number): number {
  return strideOf(epoch) + EPOCH_STRIDE + rank;
}

function strideOf(epoch: number): number {
  return Math.floor(epoch / EPOCH_STRIDE) * EPOCH_STRIDE;
}

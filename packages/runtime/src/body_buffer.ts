/** Size of the first buffer of a body, in bytes; most jobs fit in it. */
const FIRST_BYTES = 4_096;
const EMPTY = Buffer.alloc(0);

/**
 * The body of a request in one buffer that grows by doubling. Slices of the
 * buffers that chunks were read into would keep those alive, at up to a
 * hundred bytes for each byte of a body in tiny chunks.
 *
 * @example
 * ```ts
 * const body = new BodyBuffer(262_144, (bytes) => budget.add(bytes));
 * body.add(Buffer.from("{}")); // true
 * ```
 */
export class BodyBuffer {
  readonly #maxBytes: number;
  readonly #onCapacity: (addedBytes: number) => void;
  #buffer = EMPTY;
  #bytes = 0;
  #isReleased = false;
  /** The whole body, if it came in one chunk. */
  #whole: Uint8Array | undefined;

  /**
   * `onCapacity` is called before the memory of the buffer changes, with the
   * difference in bytes; it may call {@link release}.
   */
  constructor(maxBytes: number, onCapacity: (addedBytes: number) => void) {
    this.#maxBytes = maxBytes;
    this.#onCapacity = onCapacity;
  }

  /** Whether {@link release} was called. */
  get isReleased(): boolean {
    return this.#isReleased;
  }

  /** Bytes that were added. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Takes a chunk that is the whole body and is handled in the same turn of
   * the loop, so that it isn't copied.
   */
  setWhole(chunk: Uint8Array): void {
    this.#whole = chunk;
    this.#bytes = chunk.length;
  }

  /** Adds a chunk; returns false if it was released or would be too large. */
  add(chunk: Uint8Array): boolean {
    const bytes = this.#bytes + chunk.length;
    if (this.#isReleased || bytes > this.#maxBytes) {
      return false;
    }
    if (bytes > this.#buffer.length && !this.#grow(bytes)) {
      return false;
    }
    this.#buffer.set(chunk, this.#bytes);
    this.#bytes = bytes;
    return true;
  }

  /** Returns what was added as text in UTF-8. */
  toString(): string {
    return this.toBuffer().toString();
  }

  /** Returns what was added, without copying it. */
  toBuffer(): Buffer {
    const { buffer, byteOffset } = this.#whole ?? this.#buffer;
    return Buffer.from(buffer, byteOffset, this.#bytes);
  }

  /** Frees the memory; nothing is added afterwards. */
  release(): void {
    if (this.#isReleased) {
      return;
    }
    this.#isReleased = true;
    this.#whole = undefined;
    if (this.#buffer.length > 0) {
      this.#onCapacity(-this.#buffer.length);
      this.#buffer = EMPTY;
    }
  }

  #grow(bytes: number): boolean {
    const capacity = Math.min(
      this.#maxBytes,
      Math.max(bytes, FIRST_BYTES, 2 * this.#buffer.length),
    );
    const addedBytes = capacity - this.#buffer.length;
    this.#onCapacity(addedBytes);
    if (this.#isReleased) {
      this.#onCapacity(-addedBytes);
      return false;
    }
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.#buffer.copy(grown, 0, 0, this.#bytes);
    this.#buffer = grown;
    return true;
  }
}

/** What can be wrong with a message that arrived. */
export enum WireErrorKind {
  /** The kind's number is not known to this version. */
  UnknownKind = "unknown-kind",
  /** The bytes are not what the codec writes. */
  Undecodable = "undecodable",
  /** Decoded, but not the shape that the kind promises. */
  WrongShape = "wrong-shape",
}

/** A message could not be decoded. */
export interface WireError {
  readonly kind: WireErrorKind;
  /** One line without any part of the message's content. */
  readonly message: string;
}

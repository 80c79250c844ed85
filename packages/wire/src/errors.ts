/** Why a received message could not be decoded. */
export enum WireErrorKind {
  /** This version knows no message kind with this number. */
  UnknownKind = "unknown-kind",
  /** The bytes are not valid UTF-8 or not valid JSON. */
  Undecodable = "undecodable",
  /** The decoded value does not match the schema of its kind. */
  WrongShape = "wrong-shape",
}

/** The error of a message that could not be decoded. */
export interface WireError {
  readonly kind: WireErrorKind;
  /** One line; never contains values of the message. */
  readonly message: string;
}

import type { PeerMessage } from "@mustardweir/protocol";
import { err, ok, type Result } from "neverthrow";
import { type WireError, WireErrorKind } from "./errors.ts";
import { findMessageSchema } from "./message_schemas.ts";

/** Encodes messages as bytes and decodes them; makes no decisions. */
export abstract class MessageCodec {
  /** Returns the bytes of a message, for the body of an envelope. */
  abstract encode(message: PeerMessage): Uint8Array;

  /** Decodes the body of an envelope with the kind `kind`. */
  abstract decode(
    kind: number,
    bytes: Uint8Array,
  ): Result<PeerMessage, WireError>;
}

/**
 * Encodes messages as JSON in UTF-8. Fields that are not in the schema of the
 * kind are kept unchecked, so that a newer peer may send additional fields.
 *
 * @example
 * ```ts
 * const codec = new JsonMessageCodec();
 * const result = codec.decode(message.kind, codec.encode(message));
 * ```
 */
export class JsonMessageCodec extends MessageCodec {
  readonly #encoder = new TextEncoder();
  readonly #decoder = new TextDecoder("utf-8", { fatal: true });

  override encode(message: PeerMessage): Uint8Array {
    return this.#encoder.encode(JSON.stringify(message));
  }

  override decode(
    kind: number,
    bytes: Uint8Array,
  ): Result<PeerMessage, WireError> {
    const schema = findMessageSchema(kind);
    if (schema === undefined) {
      return wireError(
        WireErrorKind.UnknownKind,
        `Unknown message kind ${kind}`,
      );
    }
    return this.#parse(kind, bytes).andThen((value) => {
      const checked = schema.safeParse(value);
      return checked.success ? ok(checked.data) : wireError(
        WireErrorKind.WrongShape,
        `Message of kind ${kind} has an invalid ${
          describeIssue(checked.error)
        }`,
      );
    });
  }

  #parse(kind: number, bytes: Uint8Array): Result<unknown, WireError> {
    try {
      return ok(JSON.parse(this.#decoder.decode(bytes)));
    } catch {
      return wireError(
        WireErrorKind.Undecodable,
        `Message of kind ${kind} is not valid JSON in UTF-8`,
      );
    }
  }
}

function wireError(
  kind: WireErrorKind,
  message: string,
): Result<never, WireError> {
  return err({ kind, message });
}

interface SchemaError {
  readonly issues: readonly { readonly path: readonly PropertyKey[] }[];
}

function describeIssue(error: SchemaError): string {
  const path = error.issues[0]?.path.map(String).join(".");
  return path ? `field ${path}` : "shape";
}

import type { PeerMessage } from "@mustardweir/protocol";
import { err, ok, type Result } from "neverthrow";
import { type WireError, WireErrorKind } from "./errors.ts";
import { messageSchema } from "./message_schemas.ts";

/** Turns messages into bytes and back; knows nothing of decisions. */
export abstract class MessageCodec {
  /** The bytes of a message, as the body of an envelope. */
  abstract encode(message: PeerMessage): Uint8Array;

  /** Decodes the body of an envelope whose kind is `kind`. */
  abstract decode(
    kind: number,
    bytes: Uint8Array,
  ): Result<PeerMessage, WireError>;
}

/**
 * Messages as JSON in UTF-8. Fields that the schema of the kind does not name
 * are passed on unchecked, so that a newer peer may send more.
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
    const schema = messageSchema(kind);
    if (schema === undefined) {
      return wireError(
        WireErrorKind.UnknownKind,
        `Message kind ${kind} is not known`,
      );
    }
    return this.#parse(kind, bytes).andThen((value) => {
      const checked = schema.safeParse(value);
      return checked.success ? ok(checked.data) : wireError(
        WireErrorKind.WrongShape,
        `Message of kind ${kind} has a wrong ${issuePath(checked.error)}`,
      );
    });
  }

  #parse(kind: number, bytes: Uint8Array): Result<unknown, WireError> {
    try {
      return ok(JSON.parse(this.#decoder.decode(bytes)));
    } catch {
      return wireError(
        WireErrorKind.Undecodable,
        `Message of kind ${kind} is not JSON`,
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

function issuePath(error: SchemaError): string {
  const path = error.issues[0]?.path.map(String).join(".");
  return path ? `field ${path}` : "shape";
}

import type { Configuration } from "@mustardweir/model";
import type { Result } from "neverthrow";
import { checkEdit } from "./checks.ts";
import {
  type ConfigurationDocument,
  type DocumentError,
  KEPT_NONCES,
  sectionObjectKey,
} from "./document.ts";
import type { EditRequest } from "./edit_request.ts";
import { retireInstances } from "./retired.ts";
import { replaceSection, resolveEdit } from "./section_edit.ts";

/** An edit, and the configuration and the row on which it is based. */
export interface ComposeEditOptions {
  readonly request: EditRequest;
  /** Identifies the edit, to recognize its write in the row. */
  readonly nonce: string;
  /** The configuration on which the edit is based. */
  readonly base: Configuration;
  /** The newest document that was read; absent before the first edit. */
  readonly newest?: ConfigurationDocument;
}

/** The writes of an edit: the section's body and the row's document. */
export interface ComposedEdit {
  readonly body: string;
  readonly document: ConfigurationDocument;
}

/**
 * Checks an edit against its base and composes its writes.
 *
 * @example
 * ```ts
 * const composed = composeEdit({ request, nonce: "e1/9f1c/1", base });
 * ```
 */
export function composeEdit(
  options: ComposeEditOptions,
): Result<ComposedEdit, DocumentError> {
  const { base, request: { section, body, wallMs } } = options;
  return resolveEdit(base, section, body).andThen((resolved) => {
    const edited = replaceSection(base, section, resolved);
    return checkEdit({ base, edited, section, wallMs }).map(() => {
      const text = JSON.stringify(resolved);
      const document = composeDocument(options, { edited, text });
      return { body: text, document };
    });
  });
}

interface EditedSection {
  readonly edited: Configuration;
  readonly text: string;
}

function composeDocument(
  { request, nonce, base, newest }: ComposeEditOptions,
  { edited, text }: EditedSection,
): ConfigurationDocument {
  return {
    version: request.ifMatch + 1,
    sections: {
      ...newest?.sections,
      [request.section]: sectionObjectKey(text),
    },
    nonces: [nonce, ...newest?.nonces ?? []].slice(0, KEPT_NONCES),
    retired: retireInstances({
      known: newest?.retired ?? [],
      base: base.inventory,
      edited: edited.inventory,
      wallMs: request.wallMs,
    }),
  };
}

/** Writes the OpenAPI document to docs/openapi.json, which is committed. */
import { writeFileSync } from "node:fs";
import { createOpenApi } from "./openapi.ts";

const DOCUMENT = new URL("../../../docs/openapi.json", import.meta.url);

writeFileSync(
  DOCUMENT,
  `${JSON.stringify(createOpenApi(), undefined, 2)}\n`,
);

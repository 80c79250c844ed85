import { CALL_ROLES } from "@mustardweir/admission";
import { z } from "zod";
import { errorReplySchema } from "./reply_schemas.ts";
import { type Route, ROUTES } from "./routes.ts";

const OPENAPI_VERSION = "3.1.0";
const API_VERSION = "0.1.0";

/** Where an entry shows the document. */
export const OPENAPI_PATH = "/v1/openapi.json";

/** Paths that need no key and answer as text. */
export const OPEN_PATHS: Readonly<Record<string, string>> = {
  "/healthz": "Says that the process is up",
  "/readyz": "Says whether the balancer may send callers; 503 when not",
  "/metrics": "Counters and histograms in the text format of Prometheus",
  [OPENAPI_PATH]: "This document",
};

const HEADERS: Readonly<Record<string, string>> = {
  "If-Match": 'Version that the edit was made against, such as "7"',
  "Idempotency-Key": "Names the submission, so that it may be repeated",
};

/**
 * Describes the routes of an entry as an OpenAPI document.
 *
 * @example
 * ```ts
 * const text = JSON.stringify(createOpenApi(), undefined, 2);
 * ```
 */
export function createOpenApi(): object {
  const paths: Record<string, Record<string, object>> = {};
  for (const [path, summary] of Object.entries(OPEN_PATHS)) {
    paths[path] = { get: describeOpenPath(summary) };
  }
  for (const route of ROUTES) {
    const path = openApiPath(route.path);
    const method = route.method.toLowerCase();
    paths[path] = { ...paths[path], [method]: describeRoute(route) };
  }
  return {
    openapi: OPENAPI_VERSION,
    info: { title: "mustardweir", version: API_VERSION },
    security: [{ key: [] }],
    paths,
    components: {
      securitySchemes: { key: { type: "http", scheme: "bearer" } },
      schemas: { Error: jsonSchema(errorReplySchema) },
    },
  };
}

/** The path of a route with its parameters in braces. */
export function openApiPath(path: string): string {
  return path.replaceAll(/:(\w+)/g, "{$1}");
}

function describeOpenPath(summary: string): object {
  return {
    summary,
    security: [],
    responses: { "200": { description: "Done" } },
  };
}

function describeRoute(route: Route): object {
  const { operationId, summary, call, body, reply, replyStatus } = route;
  const schema = jsonSchema(reply);
  return {
    operationId,
    summary,
    "x-roles": CALL_ROLES[call],
    parameters: describeParameters(route),
    ...(body === undefined ? {} : {
      requestBody: { required: true, content: jsonContent(jsonSchema(body)) },
    }),
    responses: {
      ...Object.fromEntries(replyStatus.map((status) => [
        String(status),
        { description: "Done", content: jsonContent(schema) },
      ])),
      default: {
        description: "Refused; `outcome` says what is known of the work",
        content: jsonContent({ $ref: "#/components/schemas/Error" }),
      },
    },
  };
}

function describeParameters(route: Route): object[] {
  const inPath = [...route.path.matchAll(/:(\w+)/g)].map(([, name]) => ({
    name,
    in: "path",
    required: true,
    schema: { type: "string" },
  }));
  const inQuery = Object.entries(route.query ?? {}).map((
    [name, description],
  ) => ({ name, in: "query", description, schema: { type: "string" } }));
  const inHeader = (route.headers ?? []).map((name) => ({
    name,
    in: "header",
    required: true,
    description: HEADERS[name],
    schema: { type: "string" },
  }));
  const timeout = {
    name: "Request-Timeout-Ms",
    in: "header",
    description: "How long the caller waits, in milliseconds",
    schema: { type: "integer" },
  };
  return [...inPath, ...inQuery, ...inHeader, timeout];
}

function jsonContent(schema: object): object {
  return { "application/json": { schema } };
}

function jsonSchema(schema: z.ZodType): object {
  const { $schema: _dialect, ...rest } = z.toJSONSchema(schema, {
    io: "input",
    unrepresentable: "any",
  });
  return rest;
}

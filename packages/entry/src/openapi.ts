import { CALL_ROLES } from "@mustardweir/admission";
import * as z from "zod";
import { errorReplySchema } from "./reply_schemas.ts";
import { type Route, ROUTES } from "./routes.ts";

const OPENAPI_VERSION = "3.1.0";
const API_VERSION = "0.1.0";

/** Path at which an entry serves the OpenAPI document. */
export const OPENAPI_PATH = "/v1/openapi.json";

/** Paths that need no key, with their descriptions. */
export const PUBLIC_PATHS: Readonly<Record<string, string>> = {
  "/healthz": "Liveness probe; 200 while the process runs",
  "/readyz":
    "Readiness probe: whether a load balancer may send requests; 503 if not",
  "/metrics": "Metrics in the text format of Prometheus",
  [OPENAPI_PATH]: "This document",
};

const HEADERS: Readonly<Record<string, string>> = {
  "If-Match": 'Version that the edit is based on, such as "7"',
  "Idempotency-Key": "Identifies the submission, so that it can be retried",
};

/**
 * Creates the OpenAPI document that describes the routes of an entry.
 *
 * @example
 * ```ts
 * const text = JSON.stringify(createOpenApi(), undefined, 2);
 * ```
 */
export function createOpenApi(): object {
  const paths: Record<string, Record<string, object>> = {};
  for (const [path, summary] of Object.entries(PUBLIC_PATHS)) {
    paths[path] = { get: describePublicPath(summary) };
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

/** Returns the path of a route with its parameters in braces. */
export function openApiPath(path: string): string {
  return path.replaceAll(/:(\w+)/g, "{$1}");
}

function describePublicPath(summary: string): object {
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
        description: "Refused; `outcome` says whether the work may have run",
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
    description: "Time limit of the call, in milliseconds",
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

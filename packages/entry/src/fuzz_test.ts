import {
  CALLER_REQUESTED,
  type CallerAnswer,
  CallerAnswerKind,
  type CallerRequest,
  EffectKind,
} from "@mustardweir/protocol";
import { RefusalReason, refuse } from "@mustardweir/model";
import { expect } from "chai";
import fc from "fast-check";
import { Client } from "undici";
import { CallerFront, errorReplySchema, HttpMethod, ROUTES } from "./mod.ts";

const SEED = 20_261;
const RUNS = 300;
const FIRST_SERVER_ERROR = 500;

const REFUSED: CallerAnswer = {
  kind: CallerAnswerKind.Refused,
  refusal: refuse(RefusalReason.NotFound, { message: "No" }),
};

/** Header values that HTTP allows, valid for the API or not. */
const headerValue = fc.string({
  unit: fc.integer({ min: 0x21, max: 0x7e }).map((code) =>
    String.fromCharCode(code)
  ),
  maxLength: 300,
});

const bodyText = fc.oneof(
  fc.string(),
  fc.json(),
  fc.constant("[".repeat(50_000)),
  fc.constant('{"__proto__":{"polluted":true},"kind":"batch"}'),
  fc.record({
    kind: fc.constantFrom("batch", "gang", "request", "\u0000"),
    cpu: fc.oneof(fc.double(), fc.string(), fc.constant(null)),
    memoryMb: fc.oneof(fc.integer(), fc.bigInt().map(String)),
    tasks: fc.integer(),
    payload: fc.string({ unit: "binary", maxLength: 200 }),
  }).map((job) => JSON.stringify(job)),
);

const path = fc.oneof(
  fc.constantFrom(...ROUTES.map((route) => route.path)),
  fc.webPath().map((text) => `/v1${text}`),
  fc.constantFrom(
    "/v1/jobs/%",
    "/v1/jobs/%00",
    "/v1/jobs/..%2f..%2fconfig",
    "/v1/config/zones/%E0%A4%A/drain",
    "//",
    "/v1/jobs?team=%ff",
  ),
);

const request = fc.record({
  method: fc.constantFrom(...Object.values(HttpMethod), "PATCH", "OPTIONS"),
  path,
  body: bodyText,
  headers: fc.record({
    authorization: fc.oneof(
      headerValue,
      headerValue.map((key) => `Bearer ${key}`),
    ),
    "if-match": fc.oneof(headerValue, fc.nat().map((n) => `"${n}"`)),
    "idempotency-key": headerValue,
    "request-timeout-ms": fc.oneof(headerValue, fc.constant("1000")),
    "content-type": headerValue,
  }, { requiredKeys: [] }),
});

describe("Random and malformed input to the caller front", () => {
  let front: CallerFront;
  let client: Client;

  beforeEach(async () => {
    front = new CallerFront({
      listen: { host: "127.0.0.1", port: 0 },
      isReady: () => true,
    });
    await front.start({
      post: (command, payload) => {
        if (command === (CALLER_REQUESTED as unknown)) {
          const { requestId } = payload as CallerRequest;
          const kind = EffectKind.AnswerCaller;
          front.perform({ kind, requestId, answer: REFUSED });
        }
      },
    });
    client = new Client(`http://127.0.0.1:${front.port}`);
  });

  afterEach(async () => {
    await client.destroy();
    await front.close();
  });

  it("gets an error message and a status below 500", async () => {
    await fc.assert(
      fc.asyncProperty(request, async ({ method, path, body, headers }) => {
        const hasBody = method !== HttpMethod.Get;
        const res = await client.request({
          method: method as HttpMethod,
          path,
          headers,
          body: hasBody ? body : null,
        });
        const text = await res.body.text();
        expect(res.statusCode).to.be.below(FIRST_SERVER_ERROR);
        if (path !== "/v1/openapi.json") {
          const { error } = errorReplySchema.parse(JSON.parse(text));
          expect(error.message).not.to.equal("");
        }
      }),
      { seed: SEED, numRuns: RUNS },
    );
    const res = await client.request({ method: "GET", path: "/healthz" });
    expect(res.statusCode).to.equal(200);
    expect(({} as { polluted?: boolean }).polluted).to.equal(undefined);
  });
});

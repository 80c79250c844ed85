import { SectionPatchKind } from "@mustardweir/configuration";
import {
  ConfigurationSection,
  inventorySchema,
  jobSpecSchema,
  KeyRole,
  keySchema,
  rulesSchema,
  zonesSchema,
  ZoneState,
} from "@mustardweir/model";
import {
  type CallerAnswer,
  type CallerCall,
  CallerCallKind,
} from "@mustardweir/protocol";
import { ok } from "neverthrow";
import type { z } from "zod";
import {
  createKey,
  decodeBody,
  type Decoded,
  decodeIdempotencyKey,
  decodeIfMatch,
  type RouteInput,
} from "./decode.ts";
import { encodeAnswer, encodeSubmitted, type HttpReply } from "./encode.ts";
import {
  burnReplySchema,
  configurationReplySchema,
  editReplySchema,
  fleetReplySchema,
  grantReplySchema,
  jobReplySchema,
  jobsReplySchema,
  teamsReplySchema,
} from "./reply_schemas.ts";

const MEBIBYTE = 1024 * 1024;

/** Maximum size of the body of an inventory, in bytes. */
export const MAX_INVENTORY_BYTES = 16 * MEBIBYTE;

/** Maximum size of the body of any other call, in bytes. */
export const MAX_BODY_BYTES = MEBIBYTE;

export enum HttpMethod {
  Get = "GET",
  Post = "POST",
  Put = "PUT",
  Delete = "DELETE",
}

/** A call and the function that encodes its answer as an HTTP response. */
export interface RoutedCall {
  readonly call: CallerCall;
  readonly encode: (answer: CallerAnswer) => HttpReply;
}

/** A route of the HTTP API and how its requests are decoded to calls. */
export interface Route {
  readonly method: HttpMethod;
  readonly path: string;
  /** Name of the operation in the OpenAPI document. */
  readonly operationId: string;
  /** One line for the OpenAPI document, without a full stop. */
  readonly summary: string;
  /** Kind of the call; it determines the roles that may make it. */
  readonly call: CallerCallKind;
  /** Maximum size of the body; undefined if the route takes no body. */
  readonly maxBodyBytes?: number;
  readonly body?: z.ZodType;
  /** Query parameters with their descriptions. */
  readonly query?: Readonly<Record<string, string>>;
  /** Required headers other than `Authorization`. */
  readonly headers?: readonly string[];
  readonly replyStatus: readonly number[];
  readonly reply: z.ZodType;
  readonly decode: (input: RouteInput) => Decoded<RoutedCall>;
}

const newKeySchema = keySchema.omit({ hash: true }).refine(
  ({ role, team }) => team === undefined || role === KeyRole.Submitter,
  { path: ["team"], error: "Only a submitter's key has a team" },
);

const { Submit, Status, Cancel, List, Teams, Fleet, Burn } = CallerCallKind;

const EDIT = {
  call: CallerCallKind.EditConfiguration,
  headers: ["If-Match"],
  replyStatus: [200],
  reply: editReplySchema,
} as const;

/** All routes of callers and operators. */
export const ROUTES: readonly Route[] = [
  {
    method: HttpMethod.Post,
    path: "/v1/jobs",
    operationId: "submitJob",
    summary: "Submits a job; a job of kind request is answered when it ends",
    call: Submit,
    maxBodyBytes: MAX_BODY_BYTES,
    body: jobSpecSchema,
    headers: ["Idempotency-Key"],
    replyStatus: [200, 202],
    reply: jobReplySchema,
    decode: decodeSubmit,
  },
  {
    method: HttpMethod.Get,
    path: "/v1/jobs",
    operationId: "listJobs",
    summary: "Lists the jobs of a team",
    call: List,
    query: { team: "The team; the key's team by default" },
    replyStatus: [200],
    reply: jobsReplySchema,
    decode: (input) =>
      ok(createRoutedCall({ kind: List, team: input.query("team") })),
  },
  {
    method: HttpMethod.Get,
    path: "/v1/jobs/:id",
    operationId: "readJob",
    summary: "Shows the state of a job and why it waits",
    call: Status,
    replyStatus: [200],
    reply: jobReplySchema,
    decode: (input) =>
      ok(createRoutedCall({ kind: Status, jobId: input.param("id") })),
  },
  {
    method: HttpMethod.Delete,
    path: "/v1/jobs/:id",
    operationId: "cancelJob",
    summary: "Cancels a job",
    call: Cancel,
    replyStatus: [200],
    reply: jobReplySchema,
    decode: (input) =>
      ok(createRoutedCall({ kind: Cancel, jobId: input.param("id") })),
  },
  {
    method: HttpMethod.Get,
    path: "/v1/teams",
    operationId: "listTeams",
    summary: "Shows the share, usage and queue of each team",
    call: Teams,
    replyStatus: [200],
    reply: teamsReplySchema,
    decode: () => ok(createRoutedCall({ kind: Teams })),
  },
  {
    method: HttpMethod.Get,
    path: "/v1/fleet",
    operationId: "readFleet",
    summary: "Shows schedulers, availability zones and slices",
    call: Fleet,
    replyStatus: [200],
    reply: fleetReplySchema,
    decode: () => ok(createRoutedCall({ kind: Fleet })),
  },
  {
    method: HttpMethod.Get,
    path: "/v1/reports/burn",
    operationId: "reportBurn",
    summary:
      "Reports burn rates of error budgets; a submitter sees its own team only",
    call: Burn,
    replyStatus: [200],
    reply: burnReplySchema,
    decode: () => ok(createRoutedCall({ kind: Burn })),
  },
  {
    method: HttpMethod.Get,
    path: "/v1/config",
    operationId: "readConfiguration",
    summary: "Shows the configuration in force, without the hashes of keys",
    call: CallerCallKind.ReadConfiguration,
    replyStatus: [200],
    reply: configurationReplySchema,
    decode: () =>
      ok(createRoutedCall({ kind: CallerCallKind.ReadConfiguration })),
  },
  {
    ...EDIT,
    method: HttpMethod.Put,
    path: "/v1/config/inventory",
    operationId: "putInventory",
    summary: "Replaces the inventory",
    maxBodyBytes: MAX_INVENTORY_BYTES,
    body: inventorySchema,
    decode: (input) => decodeSection(input, ConfigurationSection.Inventory),
  },
  {
    ...EDIT,
    method: HttpMethod.Put,
    path: "/v1/config/rules",
    operationId: "putRules",
    summary: "Replaces the rules",
    maxBodyBytes: MAX_BODY_BYTES,
    body: rulesSchema,
    decode: (input) => decodeSection(input, ConfigurationSection.Rules),
  },
  {
    ...EDIT,
    method: HttpMethod.Put,
    path: "/v1/config/zones",
    operationId: "putZones",
    summary: "Replaces the states of all availability zones",
    maxBodyBytes: MAX_BODY_BYTES,
    body: zonesSchema,
    decode: (input) => decodeSection(input, ConfigurationSection.Zones),
  },
  {
    ...EDIT,
    method: HttpMethod.Post,
    path: "/v1/config/zones/:zone/drain",
    operationId: "drainZone",
    summary: "Drains an availability zone",
    decode: (input) => decodeZone(input, ZoneState.Draining),
  },
  {
    ...EDIT,
    method: HttpMethod.Post,
    path: "/v1/config/zones/:zone/return",
    operationId: "returnZone",
    summary: "Returns a drained availability zone to service",
    decode: (input) => decodeZone(input, ZoneState.Open),
  },
  {
    ...EDIT,
    method: HttpMethod.Post,
    path: "/v1/config/keys",
    operationId: "grantKey",
    summary: "Creates a key; only this response contains it",
    maxBodyBytes: MAX_BODY_BYTES,
    body: newKeySchema,
    reply: grantReplySchema,
    decode: decodeGrant,
  },
  {
    ...EDIT,
    method: HttpMethod.Delete,
    path: "/v1/config/keys/:id",
    operationId: "withdrawKey",
    summary: "Withdraws a key, which is then invalid",
    decode: decodeWithdrawal,
  },
];

function createRoutedCall(call: CallerCall, encode = encodeAnswer): RoutedCall {
  return { call, encode };
}

function decodeSubmit(input: RouteInput): Decoded<RoutedCall> {
  return decodeIdempotencyKey(input.header("Idempotency-Key"))
    .andThen((idempotencyKey) =>
      decodeBody(jobSpecSchema, input.body).map((spec) =>
        createRoutedCall(
          { kind: CallerCallKind.Submit, idempotencyKey, spec },
          encodeSubmitted,
        )
      )
    );
}

function decodeSection(
  input: RouteInput,
  section: ConfigurationSection,
): Decoded<RoutedCall> {
  return decodeEdit(input, section, input.body);
}

function decodeZone(
  input: RouteInput,
  state: ZoneState,
): Decoded<RoutedCall> {
  return decodeEdit(input, ConfigurationSection.Zones, {
    patch: SectionPatchKind.SetZone,
    zone: input.param("zone"),
    state,
  });
}

function decodeGrant(input: RouteInput): Decoded<RoutedCall> {
  return decodeBody(newKeySchema, input.body).andThen((record) => {
    const { key, hash } = createKey();
    return decodeEdit(input, ConfigurationSection.Keys, {
      patch: SectionPatchKind.GrantKey,
      key: { ...record, hash },
    }).map(({ call }) =>
      createRoutedCall(
        call,
        (answer) => encodeGranted(answer, { id: record.id, key }),
      )
    );
  });
}

/** Encodes the only response that contains the new key. */
function encodeGranted(
  answer: CallerAnswer,
  shown: { readonly id: string; readonly key: string },
): HttpReply {
  const reply = encodeAnswer(answer);
  return "version" in answer
    ? { ...reply, body: { version: answer.version, ...shown } }
    : reply;
}

function decodeWithdrawal(input: RouteInput): Decoded<RoutedCall> {
  return decodeEdit(input, ConfigurationSection.Keys, {
    patch: SectionPatchKind.WithdrawKey,
    id: input.param("id"),
  });
}

function decodeEdit(
  input: RouteInput,
  section: ConfigurationSection,
  body: unknown,
): Decoded<RoutedCall> {
  return decodeIfMatch(input.header("If-Match")).map((ifMatch) =>
    createRoutedCall({
      kind: CallerCallKind.EditConfiguration,
      section,
      body,
      ifMatch,
    })
  );
}

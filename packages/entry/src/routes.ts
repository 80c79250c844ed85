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

/** Largest body of an inventory, in bytes. */
export const MAX_INVENTORY_BYTES = 16 * MEBIBYTE;

/** Largest body of any other call, in bytes. */
export const MAX_BODY_BYTES = MEBIBYTE;

export enum HttpMethod {
  Get = "GET",
  Post = "POST",
  Put = "PUT",
  Delete = "DELETE",
}

/** A call with what its answer needs besides. */
export interface RoutedCall {
  readonly call: CallerCall;
  readonly encode: (answer: CallerAnswer) => HttpReply;
}

/** One route of the front end: how its requests become calls. */
export interface Route {
  readonly method: HttpMethod;
  readonly path: string;
  /** Name of the operation in the OpenAPI document. */
  readonly operationId: string;
  /** One line for people, without a full stop. */
  readonly summary: string;
  /** The call that requests become; who may make it follows from it. */
  readonly call: CallerCallKind;
  /** Absent when the route takes no body. */
  readonly maxBodyBytes?: number;
  readonly body?: z.ZodType;
  /** Query parameters with their descriptions. */
  readonly query?: Readonly<Record<string, string>>;
  /** Headers that are needed besides the key. */
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
    summary: "Hands in a job; a request is answered at its end",
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
    query: { team: "The team; that of the key by default" },
    replyStatus: [200],
    reply: jobsReplySchema,
    decode: (input) => ok(routed({ kind: List, team: input.query("team") })),
  },
  {
    method: HttpMethod.Get,
    path: "/v1/jobs/:id",
    operationId: "readJob",
    summary: "Shows a job and what it waits for",
    call: Status,
    replyStatus: [200],
    reply: jobReplySchema,
    decode: (input) => ok(routed({ kind: Status, jobId: input.param("id") })),
  },
  {
    method: HttpMethod.Delete,
    path: "/v1/jobs/:id",
    operationId: "cancelJob",
    summary: "Cancels a job",
    call: Cancel,
    replyStatus: [200],
    reply: jobReplySchema,
    decode: (input) => ok(routed({ kind: Cancel, jobId: input.param("id") })),
  },
  {
    method: HttpMethod.Get,
    path: "/v1/teams",
    operationId: "listTeams",
    summary: "Shows share, use and queue of each team",
    call: Teams,
    replyStatus: [200],
    reply: teamsReplySchema,
    decode: () => ok(routed({ kind: Teams })),
  },
  {
    method: HttpMethod.Get,
    path: "/v1/fleet",
    operationId: "readFleet",
    summary: "Shows schedulers, availability zones and slices",
    call: Fleet,
    replyStatus: [200],
    reply: fleetReplySchema,
    decode: () => ok(routed({ kind: Fleet })),
  },
  {
    method: HttpMethod.Get,
    path: "/v1/reports/burn",
    operationId: "reportBurn",
    summary: "Reports service-level burn; a submitter sees its own team",
    call: Burn,
    replyStatus: [200],
    reply: burnReplySchema,
    decode: () => ok(routed({ kind: Burn })),
  },
  {
    method: HttpMethod.Get,
    path: "/v1/config",
    operationId: "readConfiguration",
    summary: "Shows the configuration in force, keys without their hashes",
    call: CallerCallKind.ReadConfiguration,
    replyStatus: [200],
    reply: configurationReplySchema,
    decode: () => ok(routed({ kind: CallerCallKind.ReadConfiguration })),
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
    summary: "Takes an availability zone out of service",
    decode: (input) => decodeZone(input, ZoneState.Draining),
  },
  {
    ...EDIT,
    method: HttpMethod.Post,
    path: "/v1/config/zones/:zone/return",
    operationId: "returnZone",
    summary: "Brings an availability zone back",
    decode: (input) => decodeZone(input, ZoneState.Open),
  },
  {
    ...EDIT,
    method: HttpMethod.Post,
    path: "/v1/config/keys",
    operationId: "grantKey",
    summary: "Makes a key; only this answer shows it",
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
    summary: "Makes a key invalid",
    decode: decodeWithdrawal,
  },
];

function routed(call: CallerCall, encode = encodeAnswer): RoutedCall {
  return { call, encode };
}

function decodeSubmit(input: RouteInput): Decoded<RoutedCall> {
  return decodeIdempotencyKey(input.header("Idempotency-Key"))
    .andThen((idempotencyKey) =>
      decodeBody(jobSpecSchema, input.body).map((spec) =>
        routed(
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
      routed(call, (answer) => encodeGranted(answer, { id: record.id, key }))
    );
  });
}

/** The only answer that ever shows the key. */
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
    routed({ kind: CallerCallKind.EditConfiguration, section, body, ifMatch })
  );
}

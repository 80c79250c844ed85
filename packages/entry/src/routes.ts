import { SectionPatchKind } from "@mustardweir/configuration";
import {
  ConfigurationSection,
  jobSpecSchema,
  keySchema,
  ZoneState,
} from "@mustardweir/model";
import {
  type CallerAnswer,
  type CallerCall,
  CallerCallKind,
} from "@mustardweir/protocol";
import { ok } from "neverthrow";
import {
  createKey,
  decodeBody,
  type Decoded,
  decodeIdempotencyKey,
  decodeIfMatch,
  type RouteInput,
} from "./decode.ts";
import { encodeAnswer, encodeSubmitted, type HttpReply } from "./encode.ts";

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
  /** Absent when the route takes no body. */
  readonly maxBodyBytes?: number;
  readonly decode: (input: RouteInput) => Decoded<RoutedCall>;
}

const newKeySchema = keySchema.omit({ hash: true });

/** All routes of callers and operators. */
export const ROUTES: readonly Route[] = [
  {
    method: HttpMethod.Post,
    path: "/v1/jobs",
    maxBodyBytes: MAX_BODY_BYTES,
    decode: decodeSubmit,
  },
  {
    method: HttpMethod.Get,
    path: "/v1/jobs",
    decode: (input) =>
      ok(routed({ kind: CallerCallKind.List, team: input.query("team") })),
  },
  {
    method: HttpMethod.Get,
    path: "/v1/jobs/:id",
    decode: (input) =>
      ok(routed({ kind: CallerCallKind.Status, jobId: input.param("id") })),
  },
  {
    method: HttpMethod.Delete,
    path: "/v1/jobs/:id",
    decode: (input) =>
      ok(routed({ kind: CallerCallKind.Cancel, jobId: input.param("id") })),
  },
  {
    method: HttpMethod.Get,
    path: "/v1/teams",
    decode: () => ok(routed({ kind: CallerCallKind.Teams })),
  },
  {
    method: HttpMethod.Get,
    path: "/v1/config",
    decode: () => ok(routed({ kind: CallerCallKind.ReadConfiguration })),
  },
  {
    method: HttpMethod.Put,
    path: "/v1/config/inventory",
    maxBodyBytes: MAX_INVENTORY_BYTES,
    decode: (input) => decodeSection(input, ConfigurationSection.Inventory),
  },
  {
    method: HttpMethod.Put,
    path: "/v1/config/rules",
    maxBodyBytes: MAX_BODY_BYTES,
    decode: (input) => decodeSection(input, ConfigurationSection.Rules),
  },
  {
    method: HttpMethod.Put,
    path: "/v1/config/zones",
    maxBodyBytes: MAX_BODY_BYTES,
    decode: (input) => decodeSection(input, ConfigurationSection.Zones),
  },
  {
    method: HttpMethod.Post,
    path: "/v1/config/zones/:zone/drain",
    decode: (input) => decodeZone(input, ZoneState.Draining),
  },
  {
    method: HttpMethod.Post,
    path: "/v1/config/zones/:zone/return",
    decode: (input) => decodeZone(input, ZoneState.Open),
  },
  {
    method: HttpMethod.Post,
    path: "/v1/config/keys",
    maxBodyBytes: MAX_BODY_BYTES,
    decode: decodeGrant,
  },
  {
    method: HttpMethod.Delete,
    path: "/v1/config/keys/:id",
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

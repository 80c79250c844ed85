import {
  defineSetting,
  hostPortSetting,
  idSetting,
  NODE_SETTINGS,
  peersSetting,
  textSetting,
} from "@mustardweir/runtime";
import { z } from "zod";

/** The settings of the binary `mustardweir-entry`. */
export const ENTRY_SETTINGS = {
  listen: defineSetting({
    name: "listen",
    value: "<host:port>",
    description: "where callers and operators are taken",
    default: "127.0.0.1:7400",
    schema: hostPortSetting,
  }),
  nodeId: defineSetting({
    name: "node-id",
    value: "<id>",
    description: "name of this node, unlike that of any other",
    schema: idSetting,
  }),
  availabilityZone: defineSetting({
    name: "availability-zone",
    value: "<name>",
    description: "availability zone that this node runs in",
    schema: idSetting,
  }),
  peers: defineSetting({
    name: "peers",
    value: "<id=host:port,...>",
    description: "schedulers known at the start",
    default: "",
    schema: peersSetting,
  }),
  platform: defineSetting({
    name: "platform",
    value: "<url>",
    description: "base URL of the platform's table, objects and list",
    schema: z.url({ protocol: /^https?$/, error: "must be an http URL" }),
  }),
  operatorKeyHash: defineSetting({
    name: "operator-key-hash",
    value: "<sha256>",
    description: "SHA-256 in hexadecimal of a key with the operator's role",
    schema: z.string().regex(
      /^[0-9a-f]{64}$/,
      "must be 64 lower-case hexadecimal digits",
    ).optional(),
  }),
  tlsCert: defineSetting({
    name: "tls-cert",
    value: "<file>",
    description: "PEM certificate shown to callers; plain HTTP without",
    schema: textSetting.optional(),
  }),
  tlsKey: defineSetting({
    name: "tls-key",
    value: "<file>",
    description: "PEM key of the certificate shown to callers",
    schema: textSetting.optional(),
  }),
  ...NODE_SETTINGS,
  stopTimeoutMs: defineSetting({
    ...NODE_SETTINGS.stopTimeoutMs,
    // Longer than any caller may wait, so that a stop cuts no call.
    default: "310s",
  }),
};

import {
  defineSetting,
  hostPortSetting,
  NODE_SETTINGS,
  textSetting,
} from "@mustardweir/runtime";
import * as z from "zod";

/** The settings of the binary `mustardweir-entry`. */
export const ENTRY_SETTINGS = {
  listen: defineSetting({
    name: "listen",
    value: "<host:port>",
    description: "address to listen on for callers and operators",
    default: "127.0.0.1:7400",
    schema: hostPortSetting,
  }),
  ...NODE_SETTINGS,
  operatorKeyHash: defineSetting({
    name: "operator-key-hash",
    value: "<sha256>",
    description: "SHA-256 in hexadecimal of a key that has the operator role",
    schema: z.string().regex(
      /^[0-9a-f]{64}$/,
      "must be 64 lower-case hexadecimal digits",
    ).optional(),
  }),
  tlsCert: defineSetting({
    name: "tls-cert",
    value: "<file>",
    description: "PEM certificate for callers; plain HTTP if not set",
    schema: textSetting.optional(),
  }),
  tlsKey: defineSetting({
    name: "tls-key",
    value: "<file>",
    description: "PEM key of the certificate for callers",
    schema: textSetting.optional(),
  }),
  stopTimeoutMs: defineSetting({
    ...NODE_SETTINGS.stopTimeoutMs,
    // Longer than any caller may wait (300 s), so that a planned stop
    // interrupts no call.
    default: "310s",
  }),
};

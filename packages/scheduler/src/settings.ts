import {
  defineSetting,
  hostPortSetting,
  idSetting,
  NODE_SETTINGS,
  peersSetting,
} from "@mustardweir/runtime";
import { z } from "zod";

/** The settings of the binary `mustardweir-scheduler`. */
export const SCHEDULER_SETTINGS = {
  listen: defineSetting({
    name: "listen",
    value: "<host:port>",
    description: "where links from schedulers and entries are taken",
    default: "127.0.0.1:7500",
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
  adminListen: defineSetting({
    name: "admin-listen",
    value: "<host:port>",
    description: "where probes and metrics are served; nowhere by default",
    schema: hostPortSetting.optional(),
  }),
  ...NODE_SETTINGS,
};

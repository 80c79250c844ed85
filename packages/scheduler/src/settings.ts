import {
  defineSetting,
  hostPortSetting,
  NODE_SETTINGS,
} from "@mustardweir/runtime";

/** The settings of the binary `mustardweir-scheduler`. */
export const SCHEDULER_SETTINGS = {
  listen: defineSetting({
    name: "listen",
    value: "<host:port>",
    description: "where links from schedulers and entries are accepted",
    default: "127.0.0.1:7500",
    schema: hostPortSetting,
  }),
  ...NODE_SETTINGS,
  adminListen: defineSetting({
    name: "admin-listen",
    value: "<host:port>",
    description: "where probes and metrics are served; nowhere by default",
    schema: hostPortSetting.optional(),
  }),
};

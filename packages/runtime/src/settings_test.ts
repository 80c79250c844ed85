import { expect } from "chai";
import * as z from "zod";
import {
  COMMON_SETTINGS,
  defineSetting,
  durationSetting,
  hostPortSetting,
  idSetting,
  integerSetting,
  LogFormat,
  LogLevel,
  parseSettings,
  peersSetting,
  portRangeSetting,
  SettingErrorKind,
} from "./mod.ts";

const SETTINGS = {
  ...COMMON_SETTINGS,
  nodeId: defineSetting({
    name: "node-id",
    value: "<id>",
    description: "id of this node",
    schema: idSetting,
  }),
  listen: defineSetting({
    name: "link-listen",
    value: "<host:port>",
    description: "where peers are taken",
    default: "127.0.0.1:7500",
    schema: hostPortSetting,
  }),
  peers: defineSetting({
    name: "peers",
    value: "<id=host:port,...>",
    description: "schedulers known at the start",
    default: "",
    schema: peersSetting,
  }),
  ports: defineSetting({
    name: "ports",
    value: "<first-last>",
    description: "ports to choose from",
    schema: portRangeSetting.optional(),
  }),
  slots: defineSetting({
    name: "slots",
    value: "<count>",
    description: "tasks at a time",
    default: "8",
    schema: integerSetting({ min: 1, max: 64 }),
  }),
  lease: defineSetting({
    name: "lease",
    value: "<duration>",
    description: "how long a lease runs",
    default: "8s",
    schema: durationSetting,
  }),
  mode: defineSetting({
    name: "mode",
    value: "<mode>",
    description: "how it runs",
    default: "a",
    schema: z.enum(["a", "b"], "must be a or b"),
  }),
};

const NODE = ["--node-id", "s1"];

interface ValueCase {
  readonly name: string;
  readonly argv?: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  readonly values: Readonly<Record<string, unknown>>;
}

const VALUE_CASES: readonly ValueCase[] = [
  {
    name: "defaults",
    values: {
      nodeId: "s1",
      listen: { host: "127.0.0.1", port: 7_500 },
      peers: [],
      ports: undefined,
      slots: 8,
      lease: 8_000,
      logLevel: LogLevel.Info,
      logFormat: LogFormat.Text,
      stopTimeoutMs: 10_000,
    },
  },
  {
    name: "a variable over the default",
    env: { MUSTARDWEIR_LINK_LISTEN: "10.0.0.1:80" },
    values: { listen: { host: "10.0.0.1", port: 80 } },
  },
  {
    name: "a flag over the variable",
    argv: ["--link-listen", "10.0.0.2:81"],
    env: { MUSTARDWEIR_LINK_LISTEN: "nonsense" },
    values: { listen: { host: "10.0.0.2", port: 81 } },
  },
  {
    name: "an IPv6 address",
    argv: ["--link-listen", "[::1]:0"],
    values: { listen: { host: "::1", port: 0 } },
  },
  {
    name: "peers",
    argv: ["--peers", "s1=10.0.0.1:1,s2=[::1]:2"],
    values: {
      peers: [
        { nodeId: "s1", address: "10.0.0.1:1" },
        { nodeId: "s2", address: "[::1]:2" },
      ],
    },
  },
  {
    name: "a port range",
    argv: ["--ports", "9000-9010"],
    values: { ports: { first: 9_000, last: 9_010 } },
  },
  {
    name: "log settings",
    argv: ["--log-format=json", "--log-level=debug"],
    values: { logFormat: LogFormat.Json, logLevel: LogLevel.Debug },
  },
  ...([["250", 250], ["250ms", 250], ["1.5s", 1_500], ["2m", 120_000]] as const)
    .map(([text, lease]) => ({
      name: `the duration ${text}`,
      argv: ["--lease", text],
      values: { lease },
    })),
];

const INVALID_VALUE_CASES = [
  { argv: ["--link-listen", "nowhere"], issue: "must be host:port" },
  { argv: ["--link-listen", "h:65536"], issue: "must be host:port" },
  { argv: ["--link-listen", "a:b:1"], issue: "must be host:port" },
  { argv: ["--lease", "soon"], issue: "must be a duration" },
  { argv: ["--lease=-1s"], issue: "must be a duration" },
  { argv: ["--peers", "s1"], issue: "must be id=host:port pairs" },
  { argv: ["--peers", "s1=h:1,s1=h:2"], issue: "must be id=host:port pairs" },
  { argv: ["--ports", "9010-9000"], issue: "must be a port range" },
  { argv: ["--slots", "0"], issue: "must be an integer from 1 to 64" },
  { argv: ["--slots", "1.5"], issue: "must be an integer from 1 to 64" },
  { argv: ["--log-level", "loud"], issue: "must be one of error, warn" },
  { argv: ["--log-format", "xml"], issue: "must be one of text, json" },
  { argv: ["--mode", "c"], issue: "must be a or b" },
  { argv: ["--node-id", "S 1"], issue: "must be lower-case letters" },
];

const INVALID_ARGUMENT_CASES = [
  { name: "an unknown flag", argv: ["--nope"], issue: "--nope" },
  { name: "a flag without its value", argv: ["--slots"], issue: "--slots" },
  { name: "an argument", argv: ["extra"], issue: "too many arguments" },
];

function parse(argv: readonly string[], env: ValueCase["env"] = {}) {
  return parseSettings(SETTINGS, { command: "test", argv, env });
}

describe("parseSettings", () => {
  for (const { name, argv = [], env = {}, values } of VALUE_CASES) {
    it(`accepts ${name}`, () => {
      const settings = parse([...NODE, ...argv], env)._unsafeUnwrap();
      expect(settings).to.deep.include(values);
    });
  }

  for (const { argv, issue } of INVALID_VALUE_CASES) {
    it(`refuses ${argv.join(" ")}`, () => {
      const error = parse([...NODE, ...argv])._unsafeUnwrapErr();
      expect(error.kind).to.equal(SettingErrorKind.BadValue);
      expect(error.message).to.include(argv[0]?.split("=")[0]);
      expect(error.message).to.include(issue);
      expect(error.message).not.to.include("\n");
    });
  }

  for (const { name, argv, issue } of INVALID_ARGUMENT_CASES) {
    it(`refuses ${name}`, () => {
      const error = parse([...NODE, ...argv])._unsafeUnwrapErr();
      expect(error.kind).to.equal(SettingErrorKind.BadArguments);
      expect(error.message).to.include(issue);
    });
  }

  it("reports the flag and the variable of a missing value", () => {
    const error = parse([])._unsafeUnwrapErr();
    expect(error.message).to.equal(
      "--node-id (MUSTARDWEIR_NODE_ID) is required",
    );
  });
});

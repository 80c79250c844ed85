import { expect } from "chai";
import fc from "fast-check";
import { NODE_SETTINGS, parseSettings, SettingErrorKind } from "./mod.ts";
import {
  booleanSetting,
  durationSetting,
  hostPortSetting,
  idSetting,
  integerSetting,
  logFormatSetting,
  peersSetting,
  portRangeSetting,
  textSetting,
} from "./setting_schemas.ts";

const SEED = 20_261;
const RUNS = 500;

const SCHEMAS = {
  booleanSetting,
  durationSetting,
  hostPortSetting,
  idSetting,
  integer: integerSetting({ min: -5, max: 5 }),
  logFormatSetting,
  peersSetting,
  portRangeSetting,
  textSetting,
};

/** Random text, and combinations of the parts of settings. */
const text = fc.oneof(
  fc.string({ unit: "binary" }),
  fc.array(
    fc.constantFrom("a", "=", ":", ",", "-", "1", "99999", "[", "]", "ms", " "),
    { maxLength: 12 },
  ).map((parts) => parts.join("")),
);

describe("Random and malformed settings", () => {
  for (const [name, schema] of Object.entries(SCHEMAS)) {
    it(`are accepted or rejected without an exception by ${name}`, () => {
      fc.assert(
        fc.property(text, (given) => {
          const checked = schema.safeParse(given);
          expect(checked.success || checked.error.issues.length > 0)
            .to.equal(true);
        }),
        { seed: SEED, numRuns: RUNS },
      );
    });
  }

  it("produce one-line errors for any arguments and environment", () => {
    const argument = fc.oneof(
      text,
      fc.constantFrom("--log-level", "--drain-delay", "--help", "--", "--x"),
    );
    fc.assert(
      fc.property(fc.array(argument, { maxLength: 5 }), text, (argv, value) => {
        const env = { MUSTARDWEIR_STOP_TIMEOUT: value };
        const parsed = parseSettings(NODE_SETTINGS, {
          command: "mustardweir-x",
          argv: argv.filter((part) => part !== "--help"),
          env,
        });
        if (parsed.isErr()) {
          const { kind, message } = parsed.error;
          expect(kind).not.to.equal(SettingErrorKind.HelpShown);
          expect(message).to.match(/^[^\n]+$/);
        }
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
});

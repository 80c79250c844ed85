import fc from "fast-check";
import { type Command, CommandKind, COMMANDS } from "./commands.ts";
import { Point } from "./point.ts";
import type { Scenario } from "./scenario.ts";

/** Factor on the weight of commands that exercise the checked point. */
const FOCUS_FACTOR = 4;

const MAX_COMMANDS = 30;
const MAX_PICK = 999;

/** Maximum time between two commands, in milliseconds. */
const MAX_GAP_MS = 3_000;

/** Maximum of `forMs` of a command, in milliseconds. */
const MAX_FOR_MS = 8_000;

const allKinds = Object.values(CommandKind);

/** Numbers of schedulers to choose from; 3 is drawn more often. */
const SCHEDULERS = [3, 3, 3, 6];

/**
 * Times before the first command, in milliseconds: until the first owners are
 * elected, or until schedulers have been up for long enough to vouch.
 */
const WARM_UPS_MS = [3_500, 14_000];

/**
 * Commands that inject no fault, so that tasks lost around a planned stop can
 * only be lost by the stop itself.
 */
const FAULT_FREE_KINDS: readonly CommandKind[] = [
  CommandKind.Submit,
  CommandKind.SubmitNonIdempotent,
  CommandKind.Repeat,
  CommandKind.StatusWave,
  CommandKind.PlannedStop,
];

/**
 * Returns an arbitrary of scenarios; with `point`, the commands that exercise
 * it are drawn more often.
 *
 * @example
 * ```ts
 * fc.assert(fc.property(scenarioArbitrary(), holds), { seed });
 * ```
 */
export function scenarioArbitrary(point?: Point): fc.Arbitrary<Scenario> {
  return fc.noBias(fc.record({
    simulationSeed: fc.noShrink(fc.integer({ min: 1, max: 0x3fff_ffff })),
    schedulers: fc.noShrink(fc.constantFrom(...SCHEDULERS)),
    commands: commandsArbitrary(point),
    warmUpMs: fc.noShrink(fc.constantFrom(...WARM_UPS_MS)),
  }));
}

function commandsArbitrary(point: Point | undefined): fc.Arbitrary<Command[]> {
  const all = arrayOf(commandArbitrary(kindArbitrary(allKinds, point)));
  const calm = arrayOf(
    commandArbitrary(kindArbitrary(FAULT_FREE_KINDS, point)),
  );
  return point === Point.GracefulStop ? fc.oneof(all, calm) : all;
}

function arrayOf(command: fc.Arbitrary<Command>): fc.Arbitrary<Command[]> {
  return fc.array(command, {
    minLength: 1,
    maxLength: MAX_COMMANDS,
    size: "max",
  });
}

function commandArbitrary(
  kind: fc.Arbitrary<CommandKind>,
): fc.Arbitrary<Command> {
  return fc.record({
    kind,
    gapMs: fc.oneof(
      { weight: 3, arbitrary: fc.nat(60) },
      { weight: 4, arbitrary: fc.nat(800) },
      { weight: 2, arbitrary: fc.nat(MAX_GAP_MS) },
    ),
    pick: fc.nat(MAX_PICK),
    other: fc.nat(MAX_PICK),
    forMs: fc.nat(MAX_FOR_MS),
  });
}

function kindArbitrary(
  kinds: readonly CommandKind[],
  point: Point | undefined,
): fc.Arbitrary<CommandKind> {
  return fc.oneof(...kinds.map((kind) => {
    const { weight, points } = COMMANDS[kind];
    const isFocus = point !== undefined && points.includes(point) &&
      kind !== CommandKind.Submit;
    const arbitrary = fc.constant(kind);
    return { weight: isFocus ? weight * FOCUS_FACTOR : weight, arbitrary };
  }));
}

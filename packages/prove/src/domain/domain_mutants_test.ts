import type { Command } from "@mustardweir/kernel";
import {
  AttemptEnd,
  EffectKind,
  type EffectReply,
  FrontAnswerKind,
  type NodeEffect,
  OrderKind,
  OrderOutcome,
  type OrderResult,
  RecordCommitKind,
  type RecordCommitResult,
} from "@mustardweir/protocol";
import { expect } from "chai";
import type { SimulatedNode } from "../simulation/node.ts";
import { Tampering } from "../simulation/tampering.ts";
import { findViolations } from "./domain_oracle.ts";
import { DOMAIN_SCENARIOS, runDomainScenario } from "./domain_scenarios.ts";

const SEEDS = [1, 2, 3];

/** Changes the effects of a node. */
class EffectTampering extends Tampering {
  readonly #change: (effect: NodeEffect) => NodeEffect;

  constructor(change: (effect: NodeEffect) => NodeEffect) {
    super();
    this.#change = change;
  }

  override transformEffect(
    _node: SimulatedNode,
    effect: NodeEffect,
  ): NodeEffect[] {
    return [this.#change(effect)];
  }
}

/** Changes or drops the results in the payloads of one command. */
class ResultTampering<Result> extends Tampering {
  readonly #name: string;
  readonly #change: (result: Result, context: unknown) => Result | undefined;

  constructor(
    name: string,
    change: (result: Result, context: unknown) => Result | undefined,
  ) {
    super();
    this.#name = name;
    this.#change = change;
  }

  override transformPayload<Payload>(
    _node: SimulatedNode,
    command: Command<Payload>,
    payload: Payload,
  ): Payload | undefined {
    if (command.name !== this.#name) {
      return payload;
    }
    const { context, result } = payload as EffectReply<unknown, Result>;
    const changed = this.#change(result, context);
    return changed === undefined
      ? undefined
      : { context, result: changed } as Payload;
  }
}

interface Mutant {
  readonly name: string;
  /** Names of the scenarios of which at least one must catch the mutant. */
  readonly scenarios: RegExp;
  readonly create: () => Tampering;
}

const MUTANTS: readonly Mutant[] = [
  {
    name: "treats a start without a reply as refused",
    scenarios: /late/,
    create: () =>
      new ResultTampering<OrderResult>(
        "order-answered",
        (result, context) =>
          result.outcome === OrderOutcome.NoAnswer &&
            (context as { kind: OrderKind }).kind === OrderKind.Start
            ? { outcome: OrderOutcome.Unhealthy }
            : result,
      ),
  },
  {
    name: "sends all orders of an epoch with one token",
    scenarios: /late/,
    create: () =>
      new EffectTampering((effect) =>
        effect.kind === EffectKind.OrderWorker
          ? {
            ...effect,
            order: {
              ...effect.order,
              token: Math.floor(effect.order.token / 2 ** 24) * 2 ** 24,
            },
          }
          : effect
      ),
  },
  {
    name: "acknowledges ends before they are recorded",
    scenarios: /killed/,
    create: () =>
      new EffectTampering((effect) =>
        effect.kind === EffectKind.OrderWorker &&
          effect.order.kind === OrderKind.Renew
          ? { ...effect, order: { ...effect.order, acknowledged: 1e9 } }
          : effect
      ),
  },
  {
    name: "grants leases that are too long",
    scenarios: /cut off/,
    create: () =>
      new EffectTampering((effect) =>
        effect.kind === EffectKind.OrderWorker &&
          "leaseUntilMs" in effect.order
          ? {
            ...effect,
            order: {
              ...effect.order,
              leaseUntilMs: effect.order.leaseUntilMs! + 9_000,
            },
          }
          : effect
      ),
  },
  {
    name: "treats refused writes as committed",
    scenarios: /turns two nodes away|silent to all/,
    create: () =>
      new ResultTampering<RecordCommitResult>(
        "store-answered",
        (result) =>
          result.kind === RecordCommitKind.Refused ||
            result.kind === RecordCommitKind.Unknown
            ? { kind: RecordCommitKind.Committed, version: 1, clockMs: 1 }
            : result,
      ),
  },
  {
    name: "records every worker as idle",
    scenarios: /with long tasks is cut off and the owner is killed/,
    create: () =>
      new EffectTampering((effect) =>
        effect.kind === EffectKind.CommitRecords
          ? {
            ...effect,
            transaction: {
              ...effect.transaction,
              puts: effect.transaction.puts.map((put) => ({
                ...put,
                value: put.value.replace('"isIdle":false', '"isIdle":true'),
              })),
            },
          }
          : effect
      ),
  },
  {
    name: "treats a silent worker as replaced",
    scenarios: /cut off in the middle of long tasks/,
    create: () =>
      new ResultTampering<OrderResult>(
        "renewal-answered",
        (result) =>
          result.outcome === OrderOutcome.NoAnswer
            ? { outcome: OrderOutcome.OtherIncarnation }
            : result,
      ),
  },
  {
    name: "ignores failures that a predecessor did not record",
    scenarios: /every task fails always, and the owner is cut off/,
    create: () =>
      new ResultTampering<OrderResult>(
        "renewal-answered",
        (result) =>
          result.listing === undefined ? result : {
            ...result,
            listing: {
              ...result.listing,
              ended: result.listing.ended.map((ended) =>
                ended.attempt === 2
                  ? { ...ended, end: AttemptEnd.Stopped }
                  : ended
              ),
            },
          },
      ),
  },
  {
    name: "reports that a job does not run when this is unknown",
    scenarios: /most writes are done late/,
    create: () =>
      new EffectTampering((effect) =>
        effect.kind === EffectKind.AnswerFront &&
          effect.answer.kind === FrontAnswerKind.Unknown
          ? {
            ...effect,
            answer: {
              kind: FrontAnswerKind.Unavailable,
              reason: "",
              retryAfterMs: 0,
            },
          }
          : effect
      ),
  },
];

describe("mutants of the domain", () => {
  for (const { name, scenarios, create } of MUTANTS) {
    it(`one that ${name} is caught`, () => {
      const tried = DOMAIN_SCENARIOS.filter((scenario) =>
        scenarios.test(scenario.name)
      )
        .flatMap((scenario) => SEEDS.map((seed) => ({ scenario, seed })));
      const caught = tried.some(({ scenario, seed }) => {
        try {
          const cluster = runDomainScenario(scenario, {
            seed,
            tampering: create(),
          });
          return findViolations(cluster).length > 0;
        } catch {
          // An assertion in the kernel caught the mutant.
          return true;
        }
      });
      expect(tried).not.to.have.length(0);
      expect(caught).to.equal(true);
    }).timeout(60_000);
  }
});

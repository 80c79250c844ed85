import { createStateKey } from "@mustardweir/kernel";
import type { Resources } from "@mustardweir/model";
import {
  DecisionReason,
  ElsewhereCause,
  type PlacementDecision,
} from "./placement_decision.ts";
import { countInEmptyRack, type Rack, rackOutlook } from "./rack_outlook.ts";
import { type RackWait, RackWaits } from "./rack_waits.ts";
import { RemoteFactors } from "./remote_factors.ts";
import {
  createWaitPolicy,
  DEFAULT_POLICY_KIND,
  type WaitPolicy,
  type WaitPolicyKind,
  type WaitVerdict,
} from "./wait_policy.ts";
import { WaitTrust } from "./wait_trust.ts";

/** Waiting tasks of a stage for which its rack has no room now. */
export interface RackRequest {
  /** Name of the stage. */
  readonly stage: string;
  readonly queue: string;
  /** Number of tasks; all members if the stage is a gang. */
  readonly tasks: number;
  readonly isGang: boolean;
  /** Most tasks of the stage on one worker; Infinity without a limit. */
  readonly maxPerWorker: number;
  readonly size: Resources;
  /** Expected run time in the rack, in milliseconds; Infinity if long-running. */
  readonly nearMs: number;
  /** Time left for the objective if the tasks ran in the rack now, in ms. */
  readonly slackMs: number;
  /** Waits of a lower rank go first. */
  readonly rank: number;
  readonly isUrgent: boolean;
  /** Whether the job is over its team's rate, or expired. */
  readonly yields: boolean;
  /** Tasks whose room is held for the stage while others want it. */
  readonly heldTasks: number;
  /** The racks that do: the preferred one, or any for a gang. */
  readonly racks: readonly Rack[];
}

/** A change of a stage's wait that is worth a log line. */
export interface WaitChange {
  readonly wait: Readonly<RackWait>;
  /** Undefined if the wait has begun. */
  readonly ended: ElsewhereCause | DecisionReason.PlaceInRack | undefined;
  readonly waitedMs: number;
}

/** The decisions for the tasks of a stage. */
export interface RackPlan {
  readonly decisions: readonly PlacementDecision[];
  readonly change: WaitChange | undefined;
}

/** Room for the tasks of a request in one of its racks. */
interface RackRoom {
  readonly rack: Rack;
  /** Times for each task in turn, in milliseconds from now; Infinity if none. */
  readonly meanMs: readonly number[];
  readonly upperMs: readonly number[];
  /** By the mean, behind all the work that prefers the rack. */
  readonly demandMs: readonly number[];
}

/**
 * What the owner has learned about racks, and the stages that wait for one.
 *
 * @example
 * ```ts
 * const { decisions } = locality.plan(request, update.now);
 * ```
 */
export class Locality {
  readonly factors = new RemoteFactors();
  readonly trust = new WaitTrust();
  readonly waits = new RackWaits();
  #policy: WaitPolicy;
  #knownFactor: number | undefined;

  constructor(kind: WaitPolicyKind = DEFAULT_POLICY_KIND) {
    this.#policy = createWaitPolicy(kind);
  }

  /** Chooses the kind of policy, for comparisons. */
  usePolicy(kind: WaitPolicyKind): void {
    this.#policy = createWaitPolicy(kind);
  }

  /**
   * Returns the remote factor of a queue: the measured one, else that of the
   * settings; undefined if neither is known.
   */
  factorOf(queue: string): number | undefined {
    return this.factors.factorOf(queue) ?? this.#knownFactor;
  }

  /**
   * Decides for each task whether it waits or is placed elsewhere, and begins,
   * continues or ends the wait of the stage.
   */
  plan(request: RackRequest, now: number): RackPlan {
    const known = this.waits.find(request.stage);
    if (known?.ended !== undefined) {
      return elsewhere(request.tasks, known.ended);
    }
    const cause = known && findEnd(known, request, now);
    if (cause !== undefined) {
      return this.#giveUp(request, known!, cause, now);
    }
    const { room, verdicts } = this.#judge(request, this.#policy, now);
    const waiting = verdicts.filter(({ waits }) => waits).length;
    const first = verdicts[0]!;
    if (!first.waits || room === undefined) {
      const refused = first.waits ? ElsewhereCause.RackLost : first.cause;
      return known === undefined
        ? elsewhere(request.tasks, refused)
        : this.#giveUp(request, known, refused, now);
    }
    if (known === undefined && !this.waits.hasRoom) {
      return elsewhere(request.tasks, ElsewhereCause.TooManyWaits);
    }
    const wait = known ?? this.#begin(request, {
      room,
      atMostMs: Math.max(
        ...verdicts.map((verdict) => verdict.waits ? verdict.atMostMs : 0),
      ),
      waiting,
    }, now);
    wait.tasks = waiting;
    wait.rank = request.rank;
    wait.skipped++;
    const refused = verdicts.find(({ waits }) => !waits);
    return {
      decisions: [
        {
          reason: DecisionReason.WaitUntil,
          tasks: waiting,
          cause: first.cause,
          rack: wait.rack,
          untilMs: wait.untilMs,
          expectedMs: wait.expectedMs,
        },
        ...refused === undefined || refused.waits
          ? []
          : elsewhere(request.tasks - waiting, refused.cause).decisions,
      ],
      change: known === undefined
        ? { wait, ended: undefined, waitedMs: 0 }
        : undefined,
    };
  }

  /**
   * Notes that no task of a stage waits any more. If the stage still waited for
   * its rack, the last of them has been placed there.
   */
  noteAllPlaced(stage: string, now: number): WaitChange | undefined {
    const wait = this.waits.find(stage);
    this.waits.remove(stage);
    if (wait === undefined || wait.ended !== undefined) {
      return undefined;
    }
    this.trust.record(wait, true, now);
    const ended = DecisionReason.PlaceInRack;
    return { wait, ended, waitedMs: now - wait.sinceMs };
  }

  /**
   * Drops everything that was learned, at a change of the owner. `knownFactor`
   * is the remote factor in the settings, if they tell one.
   */
  reset(knownFactor?: number): void {
    this.#knownFactor = knownFactor;
    this.factors.clear();
    this.trust.clear();
    this.waits.clear();
  }

  #judge(
    request: RackRequest,
    policy: WaitPolicy,
    now: number,
  ): {
    readonly room?: RackRoom;
    readonly verdicts: readonly WaitVerdict[];
  } {
    const refuse = (cause: ElsewhereCause) => ({
      verdicts: [{ waits: false as const, cause }],
    });
    const factor = this.factorOf(request.queue);
    if (!Number.isFinite(request.nearMs)) {
      return refuse(ElsewhereCause.LongRunning);
    }
    if (factor === undefined) {
      return refuse(ElsewhereCause.FactorUnknown);
    }
    const known = this.waits.find(request.stage);
    const usable = request.racks.filter(({ name, workers }) =>
      workers.length > 0 && (known === undefined || known.rack === name)
    );
    if (usable.length === 0) {
      return refuse(ElsewhereCause.RackLost);
    }
    const wide = usable.filter((rack) =>
      countInEmptyRack(rack, request.size, request.maxPerWorker) >=
        (request.isGang ? request.tasks : 1)
    );
    if (wide.length === 0) {
      return refuse(ElsewhereCause.RackTooSmall);
    }
    const room = wide.map((rack) => this.#roomIn(rack, request, now))
      .reduce((best, next) => next.meanMs[0]! < best.meanMs[0]! ? next : best);
    const { name: rack } = room.rack;
    if (
      request.yields && this.waits.isWantedByOthers(rack, request.stage, now)
    ) {
      return refuse(ElsewhereCause.YieldsToOthers);
    }
    const trust = this.trust.of({ queue: request.queue, rack }, now);
    const verdicts: WaitVerdict[] = [];
    for (const [index, meanMs] of room.meanMs.entries()) {
      const verdict = policy.judge({
        meanMs,
        upperMs: room.upperMs[index]!,
        demandMs: room.demandMs[index]!,
        trust,
        // Each held place is lost to others for the time of the wait.
        othersLossMs: request.heldTasks === 0
          ? 0
          : meanMs * request.heldTasks / request.tasks,
        remoteLossMs: (factor - 1) * request.nearMs,
        slackMs: request.slackMs,
        isUrgent: request.isUrgent,
        waitedMs: known === undefined ? 0 : now - known.sinceMs,
        skipped: known?.skipped ?? 0,
      });
      verdicts.push(verdict);
      if (!verdict.waits) {
        break;
      }
    }
    return { room, verdicts };
  }

  /**
   * Returns when the rack has room for each task, or for the whole gang, behind
   * the work that goes before it.
   */
  #roomIn(rack: Rack, request: RackRequest, now: number): RackRoom {
    const { stage, tasks, rank, size, isGang } = request;
    const ahead = this.waits.tasksAhead({
      stage,
      rack: rack.name,
      rank,
      size,
      now,
    });
    const demand = ahead + rack.queuedTasks;
    const outlook = rackOutlook(rack, size, demand + tasks);
    const pick = (times: readonly number[], before = ahead) => {
      const own = Array.from(
        { length: tasks },
        (_, index) => times[before + index] ?? Infinity,
      );
      return isGang ? own.map(() => own.at(-1)!) : own;
    };
    return {
      rack,
      meanMs: pick(outlook.meanMs),
      upperMs: pick(outlook.upperMs),
      demandMs: pick(outlook.meanMs, demand),
    };
  }

  #begin(
    { stage, queue, size, rank }: RackRequest,
    { room, atMostMs, waiting }: {
      readonly room: RackRoom;
      readonly atMostMs: number;
      readonly waiting: number;
    },
    now: number,
  ): RackWait {
    const wait: RackWait = {
      stage,
      queue,
      rack: room.rack.name,
      sinceMs: now,
      untilMs: now + atMostMs,
      expectedMs: room.meanMs[waiting - 1]!,
      workers: room.rack.usable,
      size,
      rank,
      tasks: waiting,
      skipped: 0,
      ended: undefined,
    };
    this.waits.begin(wait);
    return wait;
  }

  #giveUp(
    { tasks }: RackRequest,
    wait: RackWait,
    cause: ElsewhereCause,
    now: number,
  ): RackPlan {
    this.waits.end(wait, cause);
    // That a worker is lost says nothing about the expected times.
    if (cause !== ElsewhereCause.WorkerLost) {
      this.trust.record(wait, false, now);
    }
    return {
      ...elsewhere(tasks, cause),
      change: { wait, ended: cause, waitedMs: now - wait.sinceMs },
    };
  }
}

/** State key of what was learned about racks. */
export const LOCALITY = createStateKey<Locality>("locality");

function elsewhere(tasks: number, cause: ElsewhereCause): RackPlan {
  return {
    decisions: [{ reason: DecisionReason.PlaceElsewhere, tasks, cause }],
    change: undefined,
  };
}

/** Returns why a wait ends whatever the policy says; undefined if it doesn't. */
function findEnd(
  wait: RackWait,
  { racks }: RackRequest,
  now: number,
): ElsewhereCause | undefined {
  const rack = racks.find(({ name }) => name === wait.rack);
  const usable = new Set(rack?.usable);
  if (wait.workers.some((id) => !usable.has(id))) {
    return ElsewhereCause.WorkerLost;
  }
  return now >= wait.untilMs ? ElsewhereCause.GaveUp : undefined;
}

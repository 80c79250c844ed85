import {
  KeyRole,
  type Refusal,
  RefusalReason,
  refuse,
  type Rules,
  teamOfJobId,
} from "@mustardweir/model";
import {
  type CallerCall,
  CallerCallKind,
  type HomeCallBody,
  HomeCallKind,
} from "@mustardweir/protocol";
import { err, ok, type Result } from "neverthrow";
import { findObstacle, type FleetShape } from "./fleet_shape.ts";
import type { CallerIdentity } from "./key_ring.ts";

/** A call for the home of a team. */
export interface HomeTarget {
  readonly team: string;
  readonly call: HomeCallBody;
}

export interface TargetOptions {
  readonly caller: CallerIdentity;
  readonly rules: Rules;
  readonly fleet: FleetShape;
}

type SubmitCall = Extract<CallerCall, { kind: CallerCallKind.Submit }>;

/**
 * Works out which home serves a call and whether the caller may make it.
 *
 * @example
 * ```ts
 * const target = resolveTarget(req.call, { caller, rules, fleet });
 * ```
 */
export function resolveTarget(
  call: CallerCall,
  options: TargetOptions,
): Result<HomeTarget, Refusal> {
  const { caller } = options;
  switch (call.kind) {
    case CallerCallKind.Submit:
      return resolveSubmit(call, options);
    case CallerCallKind.Status:
      return resolveJob(call.jobId, options).map((team) => ({
        team,
        call: { kind: HomeCallKind.Status, jobId: call.jobId },
      }));
    case CallerCallKind.Cancel:
      if (caller.role === KeyRole.Viewer) {
        return err(notPermitted("A viewer's key changes nothing"));
      }
      return resolveJob(call.jobId, options).map((team) => ({
        team,
        call: { kind: HomeCallKind.Cancel, jobId: call.jobId },
      }));
    case CallerCallKind.List:
      return resolveTeam(call.team ?? caller.team ?? "", options).map((
        team,
      ) => ({ team, call: { kind: HomeCallKind.List } }));
    default:
      return err(notPermitted(`${call.kind} is not a call for a home`));
  }
}

/** Work is taken only for the team of the key that came with it. */
function resolveSubmit(
  call: SubmitCall,
  { caller, rules, fleet }: TargetOptions,
): Result<HomeTarget, Refusal> {
  const { team } = caller;
  if (caller.role !== KeyRole.Submitter || team === undefined) {
    return err(notPermitted("Work is handed in with a team's key"));
  }
  const rule = rules.teams.find(({ name }) => name === team);
  if (!rule?.maySubmit) {
    return err(notPermitted(`The rules do not let ${team} hand in work`));
  }
  const message = findObstacle(call.spec, { fleet, ceiling: rule.ceiling });
  if (message !== undefined) {
    return err(refuse(RefusalReason.Impossible, { message }));
  }
  const { idempotencyKey, spec } = call;
  const kind = HomeCallKind.Submit;
  return ok({ team, call: { kind, idempotencyKey, spec } });
}

/** The team that a job's id begins with. */
function resolveJob(
  jobId: string,
  options: TargetOptions,
): Result<string, Refusal> {
  const team = teamOfJobId(jobId);
  if (team === "") {
    const message =
      `"${jobId}" is no job's id; those begin with the team and a full stop`;
    return err(refuse(RefusalReason.Malformed, { message }));
  }
  return resolveTeam(team, options);
}

/** Submitters see their own team only; others name any team of the rules. */
function resolveTeam(
  team: string,
  { caller, rules }: TargetOptions,
): Result<string, Refusal> {
  if (caller.role === KeyRole.Submitter && team !== caller.team) {
    return err(notPermitted("The key belongs to another team"));
  }
  if (team === "") {
    return err(refuse(RefusalReason.Malformed, { message: "Name a team" }));
  }
  if (!rules.teams.some(({ name }) => name === team)) {
    const message = `There is no team ${team}`;
    return err(refuse(RefusalReason.NotFound, { message }));
  }
  return ok(team);
}

function notPermitted(message: string): Refusal {
  return refuse(RefusalReason.NotPermitted, { message });
}

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
import { findInfeasibility, type InventorySummary } from "./feasibility.ts";
import type { CallerIdentity } from "./key_ring.ts";

/** A call and the team whose home serves it. */
export interface HomeTarget {
  readonly team: string;
  readonly call: HomeCallBody;
}

/** The caller, and the rules and the fleet against which calls are checked. */
export interface TargetOptions {
  readonly caller: CallerIdentity;
  readonly rules: Rules;
  readonly fleet: InventorySummary;
}

type SubmitCall = Extract<CallerCall, { kind: CallerCallKind.Submit }>;

/**
 * Determines which home serves a call, and refuses it if the caller may not
 * make it.
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
        return err(notPermitted("A viewer's key may not change anything"));
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
      return err(notPermitted(`${call.kind} is not served by a home`));
  }
}

/** A job is accepted only for the team of the caller's key. */
function resolveSubmit(
  call: SubmitCall,
  { caller, rules, fleet }: TargetOptions,
): Result<HomeTarget, Refusal> {
  const { team } = caller;
  if (caller.role !== KeyRole.Submitter || team === undefined) {
    return err(notPermitted("Jobs may only be submitted with a team's key"));
  }
  const rule = rules.teams.find(({ name }) => name === team);
  if (!rule?.maySubmit) {
    return err(notPermitted(`The rules do not allow ${team} to submit jobs`));
  }
  const message = findInfeasibility(call.spec, {
    fleet,
    ceiling: rule.ceiling,
  });
  if (message !== undefined) {
    return err(refuse(RefusalReason.Impossible, { message }));
  }
  const { idempotencyKey, spec } = call;
  const kind = HomeCallKind.Submit;
  return ok({ team, call: { kind, idempotencyKey, spec } });
}

/** Returns the team in a job id, or refuses a malformed id. */
function resolveJob(
  jobId: string,
  options: TargetOptions,
): Result<string, Refusal> {
  const team = teamOfJobId(jobId);
  if (team === "") {
    const message =
      `"${jobId}" is not a job id; a job id begins with the team and a full stop`;
    return err(refuse(RefusalReason.Malformed, { message }));
  }
  return resolveTeam(team, options);
}

/** Submitters may access their own team only; others any team of the rules. */
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

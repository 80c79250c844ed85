import { JobKind, RefusalReason } from "@mustardweir/model";
import { HomeReplyKind } from "@mustardweir/protocol";
import { createFleet } from "../loopback/fleet.ts";
import { Loopback } from "../loopback/loopback.ts";

const WARM_UP_MS = 20_000;
const STEP_MS = 50;
const OFFERED_MS = 15_000;

/** Time that requests may wait for their start, in milliseconds. */
const START_WITHIN_MS = 2_000;

/** Six instances of 16 cores run 960 requests a second. */
const RUN_MS = 100;
const CAPACITY_PER_STEP = 48;

/** Requests submitted over those that the fleet can run. */
const OVERLOAD = 2;

/** What became of requests, as fractions of those submitted. */
export interface OverloadTrialResult {
  /** Part of what the fleet can run that was run. */
  readonly goodput: number;
  /** Part of the requests that were refused at once. */
  readonly refused: number;
  /** Part of them that waited for nothing until their deadline. */
  readonly expired: number;
}

/** Submits twice the requests that the fleet can run. */
export function runOverloadTrial(seed: number): OverloadTrialResult {
  const loopback = new Loopback({
    configuration: createFleet({ shares: { storefront: 1 }, instances: 2 }),
    seed,
    schedulers: 3,
  });
  loopback.run(WARM_UP_MS);
  const submitted: string[] = [];
  for (let elapsed = 0; elapsed < OFFERED_MS; elapsed += STEP_MS) {
    for (let index = 0; index < OVERLOAD * CAPACITY_PER_STEP; index++) {
      submitted.push(loopback.submit("storefront", request()));
    }
    loopback.run(STEP_MS);
  }
  loopback.run(2 * START_WITHIN_MS);
  const refused = submitted.filter((callId) => isRefused(loopback, callId))
    .length;
  const started = loopback.starts.length;
  return {
    goodput: started / (CAPACITY_PER_STEP * OFFERED_MS / STEP_MS),
    refused: refused / submitted.length,
    expired: (submitted.length - refused - started) / submitted.length,
  };
}

function isRefused(loopback: Loopback, callId: string): boolean {
  const reply = loopback.replies.get(callId)?.reply;
  return reply?.kind === HomeReplyKind.Refused &&
    reply.refusal.reason === RefusalReason.Overloaded;
}

function request() {
  return {
    kind: JobKind.Request,
    cpu: 1,
    memoryMb: 256,
    startWithinMs: START_WITHIN_MS,
    payload: JSON.stringify({ runMs: RUN_MS }),
  };
}

import { JobKind, RefusalReason } from "@mustardweir/model";
import { HomeReplyKind } from "@mustardweir/protocol";
import { createFleetConfiguration } from "../loopback/fleet.ts";
import { Loopback } from "../loopback/loopback.ts";

const WARM_UP_MS = 20_000;
const STEP_MS = 50;
const LOAD_MS = 15_000;

/** Start deadline of a request, in milliseconds after its submission. */
const START_WITHIN_MS = 2_000;

/** Run time; at 100 ms six instances of 16 cores run 960 requests a second. */
const RUN_MS = 100;
const CAPACITY_PER_STEP = 48;

/** Submitted requests, as a multiple of what the fleet can run. */
const OVERLOAD = 2;

/** Results of an overload. */
export interface OverloadTrialResult {
  /** Started requests, as a fraction of what the fleet can run. */
  readonly goodput: number;
  /** Fraction of the submitted requests that were refused as overload. */
  readonly refused: number;
  /** Fraction of the submitted requests that waited until their deadline. */
  readonly expired: number;
}

/** Submits twice as many requests as the fleet can run. */
export function runOverloadTrial(seed: number): OverloadTrialResult {
  const loopback = new Loopback({
    configuration: createFleetConfiguration({
      shares: { storefront: 1 },
      instances: 2,
    }),
    seed,
    schedulers: 3,
  });
  loopback.run(WARM_UP_MS);
  const submitted: string[] = [];
  for (let elapsed = 0; elapsed < LOAD_MS; elapsed += STEP_MS) {
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
    goodput: started / (CAPACITY_PER_STEP * LOAD_MS / STEP_MS),
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

import { setTimeout as delay } from "node:timers/promises";
import { JobKind, JobState, type JobStatus, Outcome } from "@mustardweir/model";
import type { Api, ApiAnswer } from "./api.ts";
import type { DemoJob } from "./workload.ts";

/** Delay before a call is retried, in milliseconds. */
const RETRY_DELAY_MS = 150;

/** Interval between polls of a job that has not ended, in milliseconds. */
const POLL_INTERVAL_MS = 300;

interface RefusalBody {
  readonly error?: {
    readonly reason: string;
    readonly outcome: Outcome;
    readonly retryable: boolean;
  };
}

type ReceivedRefusal = RefusalBody["error"];

type JobAnswer = ApiAnswer<JobStatus & RefusalBody>;

/** A submitted job and what was reported to its submitter. */
export interface SubmittedJob {
  readonly job: DemoJob;
  /** Whether a submission was accepted. */
  accepted: boolean;
  /** The last reported status; undefined before the job was accepted. */
  status: JobStatus | undefined;
  /** Reason of the last refusal, or "no answer". */
  refusal: string | undefined;
  /** The outcome that the last refusal reported. */
  refusedOutcome: Outcome | undefined;
  /**
   * Whether a submission got no answer, or a refusal that leaves open whether
   * the job runs.
   */
  unclear: boolean;
}

/** The entries to submit through, the keys of the teams, and the time limit. */
export interface SubmitterOptions {
  readonly apis: readonly Api[];
  readonly keyOfTeam: ReadonlyMap<string, string>;
  /** Returns when to stop waiting, in Unix time in milliseconds. */
  readonly giveUpAt: () => number;
}

/** Submits jobs through the entries in turn and polls each until it ends. */
export class Submitter {
  readonly #options: SubmitterOptions;
  #nextApiIndex = 0;
  /** The jobs submitted so far. */
  readonly stories: SubmittedJob[] = [];

  constructor(options: SubmitterOptions) {
    this.#options = options;
  }

  /** Submits `job` at its time and, unless it is a service, awaits its end. */
  async run(job: DemoJob): Promise<void> {
    const submitted: SubmittedJob = {
      job,
      accepted: false,
      status: undefined,
      refusal: undefined,
      refusedOutcome: undefined,
      unclear: false,
    };
    this.stories.push(submitted);
    await delay(job.atMs);
    await this.#submit(submitted);
    if (submitted.accepted && job.spec.kind !== JobKind.Service) {
      await this.#pollUntilEnded(submitted);
    }
  }

  /** Cancels the accepted services and waits for them to end. */
  async cancelServices(): Promise<void> {
    const services = this.stories.filter(({ job, accepted }) =>
      accepted && job.spec.kind === JobKind.Service
    );
    await Promise.all(services.map((submitted) => this.#cancel(submitted)));
  }

  /** Submits until accepted; the idempotency key makes retries safe. */
  async #submit(submitted: SubmittedJob): Promise<void> {
    const { job } = submitted;
    while (Date.now() < this.#options.giveUpAt()) {
      const answer = await this.#call(job.team, {
        method: "POST",
        path: "/v1/jobs",
        body: job.spec,
        headers: {
          "idempotency-key": job.idempotencyKey,
          "request-timeout-ms": "8000",
        },
      });
      if (answer.status === 200 || answer.status === 202) {
        submitted.accepted = true;
        submitted.status = answer.body;
        return;
      }
      const refusal = answer.body?.error;
      submitted.refusal = refusal?.reason ?? "no answer";
      submitted.refusedOutcome = refusal?.outcome;
      submitted.unclear ||= refusal?.outcome !== Outcome.NotRun;
      if (isFinal(submitted, refusal)) {
        return;
      }
      await delay(RETRY_DELAY_MS);
    }
  }

  async #pollUntilEnded(submitted: SubmittedJob): Promise<void> {
    while (
      submitted.status?.state !== JobState.Ended &&
      Date.now() < this.#options.giveUpAt()
    ) {
      await delay(POLL_INTERVAL_MS);
      const answer = await this.#call(submitted.job.team, {
        method: "GET",
        path: `/v1/jobs/${submitted.status?.jobId}`,
      });
      if (answer.status === 200) {
        submitted.status = answer.body;
      }
    }
  }

  async #cancel(submitted: SubmittedJob): Promise<void> {
    while (Date.now() < this.#options.giveUpAt()) {
      const answer = await this.#call(submitted.job.team, {
        method: "DELETE",
        path: `/v1/jobs/${submitted.status?.jobId}`,
      });
      if (answer.status === 200 || answer.status === 202) {
        break;
      }
      await delay(RETRY_DELAY_MS);
    }
    await this.#pollUntilEnded(submitted);
  }

  #call(
    team: string,
    call: Omit<Parameters<Api["call"]>[0], "key">,
  ): Promise<JobAnswer> {
    const { apis, keyOfTeam } = this.#options;
    const api = apis[this.#nextApiIndex++ % apis.length];
    const key = keyOfTeam.get(team) ?? "";
    return api!.call({ ...call, key }) as Promise<JobAnswer>;
  }
}

/** Returns whether the submitter should not retry after `refusal`. */
function isFinal(
  { job, unclear }: SubmittedJob,
  refusal: ReceivedRefusal,
): boolean {
  if (refusal === undefined || refusal.outcome === Outcome.Unknown) {
    return false;
  }
  return !refusal.retryable || (job.takesRefusal === true && !unclear);
}

import { setTimeout as delay } from "node:timers/promises";
import { JobKind, JobState, type JobStatus, Outcome } from "@mustardweir/model";
import type { Api, ApiAnswer } from "./api.ts";
import type { DemoJob } from "./workload.ts";

/** Wait before a call that may succeed later is made again. */
const RETRY_MS = 150;

/** Wait between looks at a job that has not ended. */
const POLL_MS = 300;

interface RefusalBody {
  readonly error?: {
    readonly reason: string;
    readonly outcome: Outcome;
    readonly retryable: boolean;
  };
}

type RefusalTold = RefusalBody["error"];

type JobAnswer = ApiAnswer<JobStatus & RefusalBody>;

/** What a submitter was told of one job. */
export interface JobStory {
  readonly job: DemoJob;
  accepted: boolean;
  /** What it was last told; undefined when it was told nothing. */
  status: JobStatus | undefined;
  refusal: string | undefined;
  /** What a refusal said of the work. */
  refusedOutcome: Outcome | undefined;
  /** A call got no answer, or one that doesn't know whether the job runs. */
  unclear: boolean;
}

/** The entries to submit through, the keys, and the time limit. */
export interface SubmitterOptions {
  readonly apis: readonly Api[];
  readonly keyOfTeam: ReadonlyMap<string, string>;
  /** When submitters stop to wait; wall-clock milliseconds. */
  readonly giveUpAt: () => number;
}

/** Submits jobs through the entries in turn and follows each to its end. */
export class Submitter {
  readonly #options: SubmitterOptions;
  #next = 0;
  readonly stories: JobStory[] = [];

  constructor(options: SubmitterOptions) {
    this.#options = options;
  }

  /** Hands `job` in at its time and waits for its end. */
  async run(job: DemoJob): Promise<void> {
    const story: JobStory = {
      job,
      accepted: false,
      status: undefined,
      refusal: undefined,
      refusedOutcome: undefined,
      unclear: false,
    };
    this.stories.push(story);
    await delay(job.atMs);
    await this.#submit(story);
    if (story.accepted && job.spec.kind !== JobKind.Service) {
      await this.#follow(story);
    }
  }

  /** Cancels the services and waits for their ends. */
  async cancelServices(): Promise<void> {
    const services = this.stories.filter(({ job, accepted }) =>
      accepted && job.spec.kind === JobKind.Service
    );
    await Promise.all(services.map((story) => this.#cancel(story)));
  }

  /** A repeat with the same idempotency key is the same job. */
  async #submit(story: JobStory): Promise<void> {
    const { job } = story;
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
        story.accepted = true;
        story.status = answer.body;
        return;
      }
      const refusal = answer.body?.error;
      story.refusal = refusal?.reason ?? "no answer";
      story.refusedOutcome = refusal?.outcome;
      story.unclear ||= refusal?.outcome !== Outcome.NotRun;
      if (isFinal(story, refusal)) {
        return;
      }
      await delay(RETRY_MS);
    }
  }

  async #follow(story: JobStory): Promise<void> {
    while (
      story.status?.state !== JobState.Ended &&
      Date.now() < this.#options.giveUpAt()
    ) {
      await delay(POLL_MS);
      const answer = await this.#call(story.job.team, {
        method: "GET",
        path: `/v1/jobs/${story.status?.jobId}`,
      });
      if (answer.status === 200) {
        story.status = answer.body;
      }
    }
  }

  async #cancel(story: JobStory): Promise<void> {
    while (Date.now() < this.#options.giveUpAt()) {
      const answer = await this.#call(story.job.team, {
        method: "DELETE",
        path: `/v1/jobs/${story.status?.jobId}`,
      });
      if (answer.status === 200 || answer.status === 202) {
        break;
      }
      await delay(RETRY_MS);
    }
    await this.#follow(story);
  }

  #call(
    team: string,
    call: Omit<Parameters<Api["call"]>[0], "key">,
  ): Promise<JobAnswer> {
    const { apis, keyOfTeam } = this.#options;
    const api = apis[this.#next++ % apis.length];
    const key = keyOfTeam.get(team) ?? "";
    return api!.call({ ...call, key }) as Promise<JobAnswer>;
  }
}

/** True when the submitter gives the job up. */
function isFinal({ job, unclear }: JobStory, refusal: RefusalTold): boolean {
  if (refusal === undefined || refusal.outcome === Outcome.Unknown) {
    return false;
  }
  return !refusal.retryable || (job.takesRefusal === true && !unclear);
}

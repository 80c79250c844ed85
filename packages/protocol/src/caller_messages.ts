import type {
  Configuration,
  ConfigurationSection,
  JobSpec,
  JobStatus,
  Refusal,
  Resources,
} from "@mustardweir/model";

/** Calls of callers and operators, apart from how they are encoded. */
export enum CallerCallKind {
  Submit = "submit",
  Status = "status",
  Cancel = "cancel",
  List = "list",
  ReadConfiguration = "read-configuration",
  EditConfiguration = "edit-configuration",
  Teams = "teams",
}

export type CallerCall =
  | {
    readonly kind: CallerCallKind.Submit;
    readonly idempotencyKey: string;
    readonly spec: JobSpec;
  }
  | { readonly kind: CallerCallKind.Status; readonly jobId: string }
  | { readonly kind: CallerCallKind.Cancel; readonly jobId: string }
  | { readonly kind: CallerCallKind.List; readonly team?: string }
  | { readonly kind: CallerCallKind.ReadConfiguration }
  | {
    readonly kind: CallerCallKind.EditConfiguration;
    readonly section: ConfigurationSection;
    /** Replaces the section; checked against its schema by the front end. */
    readonly body: unknown;
    /** The version that the edit was made against. */
    readonly ifMatch: number;
  }
  | { readonly kind: CallerCallKind.Teams };

export interface CallerRequest {
  /** Unique in the process; the answer carries it back. */
  readonly requestId: string;
  /** SHA-256 of the presented key, in hexadecimal. */
  readonly keyHash: string;
  /** Wall-clock time of arrival, in milliseconds since 1970. */
  readonly wallMs: number;
  /** How long the caller will wait, in milliseconds. */
  readonly ttlMs: number;
  readonly call: CallerCall;
}

export enum CallerAnswerKind {
  Job = "job",
  Jobs = "jobs",
  Configuration = "configuration",
  Edited = "edited",
  Teams = "teams",
  Refused = "refused",
}

/** A team's part of the fleet, as far as the peers have told. */
export interface TeamStanding {
  readonly team: string;
  readonly used: Resources;
  readonly dominantShare: number;
  /** The part of the fleet that the team's share amounts to. */
  readonly entitlement: number;
}

export type CallerAnswer =
  | { readonly kind: CallerAnswerKind.Job; readonly status: JobStatus }
  | {
    readonly kind: CallerAnswerKind.Jobs;
    readonly jobs: readonly JobStatus[];
  }
  | {
    readonly kind: CallerAnswerKind.Configuration;
    readonly configuration: Configuration;
  }
  | { readonly kind: CallerAnswerKind.Edited; readonly version: number }
  | {
    readonly kind: CallerAnswerKind.Teams;
    readonly teams: readonly TeamStanding[];
    readonly configurationVersion: number;
    /** Slices whose owner was not heard from lately. */
    readonly missingSlices: readonly string[];
  }
  | { readonly kind: CallerAnswerKind.Refused; readonly refusal: Refusal };

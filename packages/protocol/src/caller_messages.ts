import type {
  Ceiling,
  Configuration,
  ConfigurationSection,
  JobSpec,
  JobStatus,
  Refusal,
  Resources,
  ZoneState,
} from "@mustardweir/model";
import type { BurnReport } from "./burn_messages.ts";
import type { SliceSummary } from "./peer_messages.ts";

/** Kinds of call of callers and operators, independent of the encoding. */
export enum CallerCallKind {
  Submit = "submit",
  Status = "status",
  Cancel = "cancel",
  List = "list",
  ReadConfiguration = "read-configuration",
  EditConfiguration = "edit-configuration",
  Teams = "teams",
  Fleet = "fleet",
  Burn = "burn",
}

/** A call by kind, with its arguments. */
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
    /**
     * The new body of the section, or a patch of it; not yet validated when an
     * entry passes it to the kernel.
     */
    readonly body: unknown;
    /** The configuration version that the edit is based on. */
    readonly ifMatch: number;
  }
  | { readonly kind: CallerCallKind.Teams }
  | { readonly kind: CallerCallKind.Fleet }
  | { readonly kind: CallerCallKind.Burn };

/** A call as an entry passes it to the kernel. */
export interface CallerRequest {
  /** Unique in the process; identifies the call in the answer. */
  readonly requestId: string;
  /** SHA-256 of the caller's key, in hexadecimal. */
  readonly keyHash: string;
  /** Wall-clock time of arrival, in milliseconds since 1970. */
  readonly wallMs: number;
  /** How long the caller waits for the answer, in milliseconds. */
  readonly ttlMs: number;
  readonly call: CallerCall;
}

/** Kinds of answer to a caller's or operator's call. */
export enum CallerAnswerKind {
  Job = "job",
  Jobs = "jobs",
  Configuration = "configuration",
  Edited = "edited",
  Teams = "teams",
  Fleet = "fleet",
  Burn = "burn",
  Refused = "refused",
}

/** A team's use of the fleet, as reported in the peers' heartbeats. */
export interface TeamStatus {
  readonly team: string;
  /** The team's weight in the rules, relative to the other teams. */
  readonly share: number;
  readonly ceiling: Ceiling;
  readonly used: Resources;
  readonly dominantShare: number;
  /** Fraction of the fleet that the team's share entitles it to. */
  readonly entitlement: number;
  /**
   * The number of tasks that wait for room; absent when no recent heartbeat of
   * the home's owner reports it.
   */
  readonly waiting?: number;
}

/** A scheduler's state, as last received by an entry. */
export interface SchedulerStatus {
  readonly nodeId: string;
  readonly availabilityZone: string;
  readonly configurationVersion: number;
  readonly isStopping: boolean;
  /** Time since its last heartbeat was received, in milliseconds. */
  readonly silentMs: number;
  /** The number of homes and slices that it reports as owned. */
  readonly owned: number;
}

/** An availability zone's state, as last received by an entry. */
export interface ZoneStatus {
  readonly availabilityZone: string;
  readonly state: ZoneState;
  readonly instances: number;
  readonly slices: readonly SliceSummary[];
}

/** Parts of the system of which an entry has no recent report. */
export interface MissingParts {
  /** Slices without a recent heartbeat of their owner. */
  readonly missingSlices: readonly string[];
  /** Teams without a recent heartbeat of their home's owner. */
  readonly missingHomes: readonly string[];
  /** Schedulers that have sent heartbeats, but no recent one. */
  readonly missingSchedulers: readonly string[];
}

/** An answer by kind, with its content. */
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
  | (MissingParts & {
    readonly kind: CallerAnswerKind.Teams;
    readonly teams: readonly TeamStatus[];
    readonly configurationVersion: number;
  })
  | (MissingParts & {
    readonly kind: CallerAnswerKind.Fleet;
    readonly schedulers: readonly SchedulerStatus[];
    readonly availabilityZones: readonly ZoneStatus[];
    readonly configurationVersion: number;
  })
  | { readonly kind: CallerAnswerKind.Burn; readonly report: BurnReport }
  | { readonly kind: CallerAnswerKind.Refused; readonly refusal: Refusal };

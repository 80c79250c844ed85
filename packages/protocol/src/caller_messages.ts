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

/** Calls of callers and operators, apart from how they are encoded. */
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
    /** Replaces the section; checked against its schema by the front end. */
    readonly body: unknown;
    /** The version that the edit was made against. */
    readonly ifMatch: number;
  }
  | { readonly kind: CallerCallKind.Teams }
  | { readonly kind: CallerCallKind.Fleet }
  | { readonly kind: CallerCallKind.Burn };

/** One call as an entry passes it to the kernel. */
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

/** A team's part of the fleet, as far as the peers have told. */
export interface TeamStanding {
  readonly team: string;
  /** As the rules give it, relative to the other teams. */
  readonly share: number;
  readonly ceiling: Ceiling;
  readonly used: Resources;
  readonly dominantShare: number;
  /** The part of the fleet that the team's share amounts to. */
  readonly entitlement: number;
  /** Tasks that wait for room; absent when the home's owner is silent. */
  readonly waiting?: number;
}

/** A scheduler as an entry sees it. */
export interface SchedulerStanding {
  readonly nodeId: string;
  readonly availabilityZone: string;
  readonly configurationVersion: number;
  readonly isStopping: boolean;
  /** Time since it was last heard from, in milliseconds. */
  readonly silentMs: number;
  /** Homes and slices that it says it owns. */
  readonly owned: number;
}

/** An availability zone as an entry sees it. */
export interface ZoneStanding {
  readonly availabilityZone: string;
  readonly state: ZoneState;
  readonly instances: number;
  readonly slices: readonly SliceSummary[];
}

/** The parts of the system that an entry can't tell of. */
export interface MissingParts {
  /** Slices whose owner was not heard from lately. */
  readonly missingSlices: readonly string[];
  /** Teams whose home's owner was not heard from lately. */
  readonly missingHomes: readonly string[];
  /** Schedulers that were heard from, but not lately. */
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
    readonly teams: readonly TeamStanding[];
    readonly configurationVersion: number;
  })
  | (MissingParts & {
    readonly kind: CallerAnswerKind.Fleet;
    readonly schedulers: readonly SchedulerStanding[];
    readonly availabilityZones: readonly ZoneStanding[];
    readonly configurationVersion: number;
  })
  | { readonly kind: CallerAnswerKind.Burn; readonly report: BurnReport }
  | { readonly kind: CallerAnswerKind.Refused; readonly refusal: Refusal };

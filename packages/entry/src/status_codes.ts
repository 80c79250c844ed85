import { RefusalReason } from "@mustardweir/model";
import type { ContentfulStatusCode } from "hono/utils/http-status";

/** HTTP status for each reason for which a call is refused. */
export const REFUSAL_STATUS: Readonly<
  Record<RefusalReason, ContentfulStatusCode>
> = {
  [RefusalReason.Malformed]: 400,
  [RefusalReason.BodyTooLarge]: 413,
  [RefusalReason.UnknownKey]: 401,
  [RefusalReason.KeyWithdrawn]: 401,
  [RefusalReason.NotPermitted]: 403,
  [RefusalReason.NotFound]: 404,
  [RefusalReason.Impossible]: 422,
  [RefusalReason.KeyReused]: 409,
  [RefusalReason.StaleEdit]: 412,
  [RefusalReason.ConfigurationUnconfirmed]: 503,
  [RefusalReason.Overloaded]: 429,
  [RefusalReason.DeadlinePassed]: 504,
  [RefusalReason.Stopping]: 503,
  [RefusalReason.NoHome]: 503,
  [RefusalReason.StoreUnavailable]: 503,
};

/** Status for an edit without the version that it is based on. */
export const PRECONDITION_REQUIRED = 428;

/** Routes of the transactional table. */
import * as z from "zod";
import { jsonResponse, type PlatformResponse } from "../call.ts";
import { parse, parseJson, type Platform } from "../platform.ts";
import { PlatformService, registerService } from "../service.ts";
import {
  type TableTransaction,
  TransactionalTable,
} from "../transactional_table.ts";

const TRANSACTION = z.strictObject({
  checks: z.array(
    z.strictObject({ key: z.string(), version: z.int().min(0) }),
  ),
  puts: z.array(z.strictObject({ key: z.string(), value: z.string() })),
  deletes: z.array(z.string()),
});

const SCAN = z.object({
  prefix: z.string().default(""),
  afterRevision: z.coerce.number().int().min(0).default(0),
});

class TableService extends PlatformService {
  readonly #table = new TransactionalTable();

  override register(platform: Platform): void {
    platform.write(
      "POST",
      "/v1/table/transactions",
      (_ctx, body) =>
        parseJson(body, TRANSACTION).map((transaction) => () =>
          this.#commit(transaction)
        ),
    );
    platform.read(
      "/v1/table/rows",
      (ctx) =>
        parse(ctx.req.query(), SCAN).map((scan) => () =>
          jsonResponse(200, this.#table.scan(scan))
        ),
    );
  }

  #commit(transaction: TableTransaction): PlatformResponse {
    return this.#table.commit(transaction).match(
      (committed) => jsonResponse(200, committed),
      (conflict) => jsonResponse(409, conflict),
    );
  }
}

registerService({ name: "table", create: () => new TableService() });

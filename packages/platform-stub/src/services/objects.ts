/** Routes of the object store. */
import { ok } from "neverthrow";
import { jsonResponse, type PlatformResponse } from "../call.ts";
import type { Platform, PlatformContext } from "../platform.ts";
import { PlatformService, registerService } from "../service.ts";

/** The pattern allows keys with slashes. */
const PATH = "/v1/objects/:key{.+}";

class ObjectService extends PlatformService {
  readonly #bodies = new Map<string, string>();

  override register(platform: Platform): void {
    platform.read(PATH, (ctx) => {
      const key = readKey(ctx);
      return ok(() => this.#get(key));
    });
    platform.write("PUT", PATH, (ctx, body) => {
      const key = readKey(ctx);
      return ok(() => this.#put(key, body));
    });
  }

  #get(key: string): PlatformResponse {
    const body = this.#bodies.get(key);
    return body === undefined
      ? jsonResponse(404, { error: "Object does not exist" })
      : { code: 200, body };
  }

  #put(key: string, body: string): PlatformResponse {
    this.#bodies.set(key, body);
    return jsonResponse(200, {});
  }
}

function readKey(ctx: PlatformContext): string {
  return ctx.req.param("key") ?? "";
}

registerService({ name: "objects", create: () => new ObjectService() });

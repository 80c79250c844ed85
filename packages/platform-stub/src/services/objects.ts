/** Routes of the object store. */
import { ok } from "neverthrow";
import { type Answer, jsonAnswer } from "../call.ts";
import type { Platform, PlatformContext } from "../platform.ts";
import { PlatformService, registerService } from "../service.ts";

/** A key may contain slashes. */
const PATH = "/v1/objects/:key{.+}";

class ObjectService extends PlatformService {
  readonly #bodies = new Map<string, string>();

  override register(platform: Platform): void {
    platform.read(PATH, (ctx) => {
      const key = keyOf(ctx);
      return ok(() => this.#get(key));
    });
    platform.write("PUT", PATH, (ctx, body) => {
      const key = keyOf(ctx);
      return ok(() => this.#put(key, body));
    });
  }

  #get(key: string): Answer {
    const body = this.#bodies.get(key);
    return body === undefined
      ? jsonAnswer(404, { error: "Object does not exist" })
      : { code: 200, body };
  }

  #put(key: string, body: string): Answer {
    this.#bodies.set(key, body);
    return jsonAnswer(200, {});
  }
}

function keyOf(ctx: PlatformContext): string {
  return ctx.req.param("key") ?? "";
}

registerService({ name: "objects", create: () => new ObjectService() });

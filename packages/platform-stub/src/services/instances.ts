/** Routes of the lagging list of instances. */
import { ok } from "neverthrow";
import * as z from "zod";
import { jsonResponse } from "../call.ts";
import { LaggingList } from "../lagging_list.ts";
import { parseJson, type Platform } from "../platform.ts";
import { PlatformService, registerService } from "../service.ts";

const INSTANCE = z.strictObject({
  role: z.string(),
  /** host:port; empty if the instance accepts no requests. */
  address: z.string(),
  availabilityZone: z.string(),
  leaving: z.boolean(),
});

const PATH = "/v1/instances/:nodeId";

type ListedInstance = z.infer<typeof INSTANCE> & { readonly nodeId: string };

class InstanceService extends PlatformService {
  override register(platform: Platform): void {
    const list = new LaggingList<ListedInstance>({
      lagMs: platform.listLagMs,
    });
    platform.read(
      "/v1/instances",
      () =>
        ok(() =>
          jsonResponse(200, { instances: list.read(performance.now()) })
        ),
    );
    platform.write("PUT", PATH, (ctx, body) => {
      const nodeId = ctx.req.param("nodeId") ?? "";
      return parseJson(body, INSTANCE).map((instance) => () => {
        const item = { nodeId, ...instance };
        list.put(nodeId, { item, now: performance.now() });
        return jsonResponse(200, {});
      });
    });
    platform.write("DELETE", PATH, (ctx) => {
      const nodeId = ctx.req.param("nodeId") ?? "";
      return ok(() => {
        list.remove(nodeId, { now: performance.now() });
        return jsonResponse(200, {});
      });
    });
  }
}

registerService({ name: "instances", create: () => new InstanceService() });

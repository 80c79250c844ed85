/** Routes that control and monitor the stand-in; no fault affects them. */
import { consola } from "consola";
import { FAULT_SETTINGS } from "../faults.ts";
import { parseJson, type Platform, send } from "../platform.ts";
import { PlatformService, registerService } from "../service.ts";

class ControlService extends PlatformService {
  override register(platform: Platform): void {
    const { app } = platform;
    app.get("/v1/stats", (ctx) => ctx.json(platform.stats));
    app.get("/v1/faults", (ctx) => ctx.json(platform.faults));
    app.put(
      "/v1/faults",
      async (ctx) =>
        parseJson(await ctx.req.text(), FAULT_SETTINGS).match(
          (settings) => {
            platform.setFaults(settings);
            consola.info("Faults changed", JSON.stringify(settings));
            return ctx.json(settings);
          },
          (response) => send(ctx, response),
        ),
    );
  }
}

registerService({ name: "control", create: () => new ControlService() });

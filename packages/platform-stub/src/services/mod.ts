import "./control.ts";
import "./instances.ts";
import "./objects.ts";
import "./table.ts";

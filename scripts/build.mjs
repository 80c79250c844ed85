// Bundles all binaries into their packages' `dist` folders.
import { bundle, listBinaries } from "./bundles.mjs";

await Promise.all(listBinaries().map(({ folder }) => bundle(folder)));

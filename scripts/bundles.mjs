// Bundles each binary with the workspace packages it imports; packages from
// the registry stay external.
import { readdirSync, readFileSync } from "node:fs";
import { build } from "esbuild";

const keepRegistryPackagesExternal = {
  name: "registry-packages-external",
  setup(build) {
    build.onResolve(
      { filter: /^[^.]/ },
      (args) =>
        args.kind === "entry-point" || args.path.startsWith("@mustardweir/")
          ? undefined
          : { path: args.path, external: true },
    );
  },
};

/** Returns the folder and manifest of each package that has a binary. */
export function listBinaries() {
  return readdirSync("packages")
    .map((name) => ({
      folder: `packages/${name}`,
      manifest: readManifest(`packages/${name}`),
    }))
    .filter(({ manifest }) => manifest.bin);
}

export function readManifest(folder) {
  return JSON.parse(readFileSync(`${folder}/package.json`, "utf8"));
}

/** Bundles a binary; resolves to the registry packages that it imports. */
export async function bundle(folder) {
  const outfile = `${folder}/dist/main.js`;
  const { metafile } = await build({
    entryPoints: [`${folder}/src/main.ts`],
    outfile,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    sourcemap: true,
    metafile: true,
    logLevel: "warning",
    plugins: [keepRegistryPackagesExternal],
  });
  const names = metafile.outputs[outfile].imports
    .filter(({ external, path }) => external && !path.startsWith("node:"))
    .map(({ path }) => parsePackageName(path));
  return [...new Set(names)].sort();
}

/** Returns the package of an import path such as `hono/body-limit`. */
function parsePackageName(path) {
  const parts = path.split("/");
  return parts.slice(0, path.startsWith("@") ? 2 : 1).join("/");
}

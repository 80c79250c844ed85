// Bundles each binary with the workspace packages it imports; packages from
// the registry stay external.
import { readdirSync, readFileSync } from "node:fs";
import { build } from "esbuild";

const packages = readdirSync("packages").map((name) => ({
  name,
  manifest: JSON.parse(readFileSync(`packages/${name}/package.json`, "utf8")),
}));

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

await Promise.all(
  packages.filter(({ manifest }) => manifest.bin).map(({ name }) =>
    build({
      entryPoints: [`packages/${name}/src/main.ts`],
      outfile: `packages/${name}/dist/main.js`,
      bundle: true,
      platform: "node",
      target: "node20",
      format: "esm",
      sourcemap: true,
      logLevel: "warning",
      plugins: [keepRegistryPackagesExternal],
    })
  ),
);

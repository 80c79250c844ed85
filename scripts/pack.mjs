// Packs each binary for publication, into `dist/` or the folder given as the
// first argument. The staged manifest depends on the registry packages that the
// bundle imports; workspace packages are part of the bundle.
import { execFileSync } from "node:child_process";
import { cpSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { bundle, listBinaries, readManifest } from "./bundles.mjs";

const root = readManifest(".");
const out = resolve(process.argv[2] ?? "dist");
mkdirSync(out, { recursive: true });
for (const { folder, manifest } of listBinaries()) {
  const imported = await bundle(folder);
  const stage = mkdtempSync(join(tmpdir(), "mustardweir-pack-"));
  for (const part of manifest.files) {
    cpSync(join(folder, part), join(stage, part), { recursive: true });
  }
  cpSync("LICENSE", join(stage, "LICENSE"));
  writeFileSync(
    join(stage, "package.json"),
    `${JSON.stringify(stageManifest(manifest, imported), undefined, 2)}\n`,
  );
  const options = { cwd: stage, encoding: "utf8" };
  const args = ["pack", "--silent", "--pack-destination", out];
  console.log(join(out, execFileSync("npm", args, options).trim()));
  rmSync(stage, { recursive: true });
}

/** Returns the manifest to publish, with the root manifest's versions. */
function stageManifest(manifest, imported) {
  const { scripts: _scripts, exports: _exports, ...rest } = manifest;
  const dependencies = imported.map((name) => {
    const version = root.dependencies[name];
    if (version === undefined) {
      throw new Error(
        `${manifest.name} imports ${name}, which the root manifest does not list`,
      );
    }
    return [name, version];
  });
  return {
    ...rest,
    private: false,
    engines: root.engines,
    dependencies: Object.fromEntries(dependencies),
  };
}

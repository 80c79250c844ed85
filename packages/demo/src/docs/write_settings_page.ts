/** Writes `docs/SETTINGS.md`; with `--check`, only fails if it is outdated. */
import { writeFileSync } from "node:fs";
import { readPage, rootPath } from "./page.ts";
import { renderSettingsPage, SETTINGS_PAGE } from "./settings_page.ts";

const page = renderSettingsPage();
if (!process.argv.includes("--check")) {
  writeFileSync(rootPath(SETTINGS_PAGE), page);
} else if (readPage(SETTINGS_PAGE) !== page) {
  console.error(`${SETTINGS_PAGE} is out of date`);
  process.exitCode = 1;
}

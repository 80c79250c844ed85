import { expect } from "chai";
import { readPage } from "./page.ts";
import { renderSettingsPage, SETTINGS_PAGE } from "./settings_page.ts";

/** In milliseconds; long because the help of three binaries is printed. */
const TIMEOUT_MS = 60_000;

/** Rows that the page must have, at least one per source of settings. */
const ROW_CASES: readonly RegExp[] = [
  /^\| `--node-id <id>` +\| `MUSTARDWEIR_NODE_ID` +\| required/m,
  /^\| `--admin-listen <host:port>` +\| `MUSTARDWEIR_ADMIN_LISTEN`/m,
  /^\| `--entry <url>` +\| `MUSTARDWEIR_ENTRY` +\| +\| an entry/m,
  /^\| `--timeout-ms <ms>` +\| +\| `30000`/m,
  /^\| `--listen <host:port>` +\| `MUSTARDWEIR_PLATFORM_LISTEN` +\| `127/m,
  /^\| `--worker <spec>` +\| `MUSTARDWEIR_WORKER_WORKER`/m,
];

describe("Settings page", function () {
  this.timeout(TIMEOUT_MS);
  let rendered = "";

  before(() => {
    rendered = renderSettingsPage();
  });

  for (const row of ROW_CASES) {
    it(`has a row like ${row.source}`, () => {
      expect(rendered).to.match(row);
    });
  }

  it("is up to date", () => {
    expect(readPage(SETTINGS_PAGE)).to.equal(rendered);
  });
});

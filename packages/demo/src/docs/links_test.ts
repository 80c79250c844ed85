import { existsSync } from "node:fs";
import { posix } from "node:path";
import { expect } from "chai";
import { readPage, rootPath } from "./page.ts";

const PAGES: readonly string[] = [
  "README.md",
  "docs/API.md",
  "docs/OPERATORS.md",
  "docs/SETTINGS.md",
  "docs/START.md",
  "docs/TROUBLESHOOTING.md",
];

interface Link {
  /** Path from the root of the repository. */
  readonly path: string;
  /** Anchor of the linked heading; empty for the whole page. */
  readonly anchor: string;
}

function parseLinks(page: string): Link[] {
  const targets = [...readPage(page).matchAll(/\]\(([^)\s]+)\)/g)]
    .map(([, target = ""]) => target);
  return targets.map((target) => {
    const [file = "", anchor = ""] = target.split("#");
    const path = file === ""
      ? page
      : posix.normalize(`${posix.dirname(page)}/${file}`);
    return { path, anchor };
  });
}

function listAnchors(page: string): string[] {
  return [...readPage(page).matchAll(/^#+ (.*)$/gm)].map(([, title = ""]) =>
    title.toLowerCase().replaceAll(/[^a-z0-9 -]/g, "").replaceAll(" ", "-")
  );
}

describe("Links of the pages", () => {
  for (const page of PAGES) {
    it(`of ${page} point to existing files and headings`, () => {
      for (const { path, anchor } of parseLinks(page)) {
        expect(existsSync(rootPath(path)), path).to.equal(true);
        if (anchor !== "") {
          expect(listAnchors(path), `${path}#${anchor}`).to.include(anchor);
        }
      }
    });
  }
});

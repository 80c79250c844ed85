import { CALL_ROLES } from "@mustardweir/admission";
import {
  PUBLIC_PATHS,
  REFUSAL_STATUS,
  type Route,
  ROUTES,
} from "@mustardweir/entry";
import { KeyRole, RefusalReason, refuse } from "@mustardweir/model";
import { expect } from "chai";
import { readPage } from "./page.ts";

const PAGE = "docs/API.md";
const EVERYONE = Object.values(KeyRole).length;

/** Returns the cells of the table rows of a section, without the headings. */
function parseTableRows(page: string, heading: string): string[][] {
  const [, rest = ""] = page.split(`\n${heading}\n`);
  const section = rest.split(/\n#{2,3} /)[0] ?? "";
  return section.split("\n")
    .filter((line) => line.startsWith("| `"))
    .map((line) => line.split("|").slice(1, -1).map((cell) => cell.trim()));
}

interface TableCase {
  readonly name: string;
  readonly heading: string;
  /** Indexes of the compared columns. */
  readonly columns: readonly number[];
  readonly rows: readonly (readonly string[])[];
}

const TABLE_CASES: readonly TableCase[] = [
  {
    name: "routes and who may call them",
    heading: "## Routes",
    columns: [0, 3],
    rows: [
      ...ROUTES.map((route) => [formatRoute(route), formatRoles(route)]),
      ...Object.keys(PUBLIC_PATHS).map((path) => [`\`GET ${path}\``, "no key"]),
    ],
  },
  {
    name: "reasons, their status and whether a retry helps",
    heading: "## Refusals",
    columns: [0, 1, 2],
    rows: Object.values(RefusalReason).map((reason) => [
      `\`${reason}\``,
      String(REFUSAL_STATUS[reason]),
      refuse(reason, { message: "" }).retryable ? "yes" : "no",
    ]),
  },
];

function formatRoute({ method, path, query = {} }: Route): string {
  const names = Object.keys(query).map((name) =>
    `${name}=${name.toUpperCase()}`
  );
  return `\`${method} ${[path, ...names].join("?")}\``;
}

function formatRoles({ call }: Route): string {
  const roles = CALL_ROLES[call];
  return roles.length === EVERYONE ? "all" : roles.join(", ");
}

describe(`Tables of ${PAGE}`, () => {
  const page = readPage(PAGE);

  for (const { name, heading, columns, rows } of TABLE_CASES) {
    it(`name all ${name}`, () => {
      const actual = parseTableRows(page, heading).map((cells) =>
        columns.map((column) => cells[column])
      );
      expect(actual).to.have.deep.members(rows);
    });
  }
});

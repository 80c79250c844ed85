import { setTimeout as delay } from "node:timers/promises";
import { type Cluster, type Fleet, OPERATOR_KEY } from "@mustardweir/demo";
import { request } from "undici";

const RETRY_MS = 250;
const MAX_TRIES = 60;

/** Gives the processes of a new cluster their rules and their inventory. */
export async function configureCluster(
  cluster: Cluster,
  fleet: Fleet,
): Promise<void> {
  await putSection(cluster, { section: "rules", body: fleet.rules, base: 0 });
  const body = cluster.inventory;
  await putSection(cluster, { section: "inventory", body, base: 1 });
}

interface SectionEdit {
  readonly section: string;
  readonly body: unknown;
  /** The version that the edit is made of. */
  readonly base: number;
}

async function putSection(
  cluster: Cluster,
  { section, body, base }: SectionEdit,
): Promise<void> {
  let answer = "";
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    const res = await request(`${cluster.entries[0]}/v1/config/${section}`, {
      method: "PUT",
      headers: {
        authorization: `Bearer ${OPERATOR_KEY}`,
        "content-type": "application/json",
        "if-match": `"${base}"`,
      },
      body: JSON.stringify(body),
    });
    answer = await res.body.text();
    if (res.statusCode === 200) {
      return;
    }
    await delay(RETRY_MS);
  }
  throw new Error(`The edit of ${section} was not accepted: ${answer}`);
}

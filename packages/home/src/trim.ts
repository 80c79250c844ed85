import type { Update } from "@mustardweir/kernel";
import { type Resources, subtractResources } from "@mustardweir/model";
import { groupBySlice, sendWithdrawal } from "./slice_messages.ts";
import { findRule, isWithinCeiling } from "./ceiling.ts";
import { type Home, type HomeTask, TaskState } from "./home_state.ts";

/** Withdraws asks that a lowered ceiling doesn't allow, newest first. */
export function trimToCeiling(update: Update, home: Home): void {
  const rule = findRule(update, home.team);
  if (rule === undefined || isWithinCeiling(home.used, rule.ceiling)) {
    return;
  }
  const asked = [...home.bySeq.values()].filter(hasOpenAsk);
  let used = asked.filter(({ withdrawn }) => withdrawn).reduce(
    subtractTask,
    home.used,
  );
  const excess: HomeTask[] = [];
  for (const task of asked.filter(({ withdrawn }) => !withdrawn).reverse()) {
    if (isWithinCeiling(used, rule.ceiling)) {
      break;
    }
    excess.push(task);
    used = subtractTask(used, task);
  }
  for (const [sliceId, tasks] of groupBySlice(excess)) {
    sendWithdrawal(update, home, { sliceId, tasks });
  }
}

function subtractTask(used: Resources, task: HomeTask): Resources {
  return subtractResources(used, task.job.size);
}

function hasOpenAsk({ state }: HomeTask): boolean {
  return state === TaskState.Asked || state === TaskState.Held;
}

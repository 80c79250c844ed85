/** The index of the task that `taskId` names an attempt of. */
export function taskIndexOf(taskId: string): number {
  return Number.parseInt(taskId.slice(taskId.lastIndexOf("#") + 1), 10);
}

/** Returns the index, within its job, of the task that `taskId` belongs to. */
export function taskIndexOf(taskId: string): number {
  return Number.parseInt(taskId.slice(taskId.lastIndexOf("#") + 1), 10);
}

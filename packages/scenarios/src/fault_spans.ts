/** When faults of a run begin and end. */
import type { Observations } from "./observations.ts";

/**
 * Ends the kill and the leaving of a process that is started now. Only its
 * first start ends them: a later one belongs to another fault, and would
 * excuse what the process did in between, or blame it for that.
 */
export function endByStart(
  name: string,
  options: {
    readonly seen: Pick<Observations, "kills" | "leavings">;
    readonly at: number;
  },
): void {
  const { seen, at } = options;
  const spans = [
    ...seen.kills.filter(({ instance }) => instance === name),
    ...seen.leavings.filter(({ server }) => server === name),
  ];
  for (const span of spans) {
    if (span.startedAgainAt === Infinity) span.startedAgainAt = at;
  }
}

/** Runs seeded answers on real engine code under faults. */
import { drawRequest, type Served, serve } from "./answer_caller.ts";
import { breakEngines } from "./answer_faults.ts";
import { startParts } from "./answer_parts.ts";
import { type AnswersReport, report } from "./answer_report.ts";
import { createSeededRandom } from "./seeded_random.ts";

const WORKERS = 24;

/** Runs `runs` answers; the seed decides requests and faults. */
export async function runAnswers(options: {
  readonly runs: number;
  readonly seed: number;
}): Promise<AnswersReport> {
  const random = createSeededRandom(options.seed);
  const { group, instances, stop } = await startParts(random);
  const served: Served[] = [];
  const faults: string[] = [];
  const ended = new AbortController();
  const breaking = breakEngines(group, {
    random,
    signal: ended.signal,
    onFault: (what) => faults.push(what),
  });
  let next = 0;
  const workers = Array.from({ length: WORKERS }, async () => {
    while (next < options.runs) {
      next += 1;
      const request = drawRequest(random, next);
      served.push(await serve(request, { instances, random }));
    }
  });
  await Promise.all(workers);
  ended.abort();
  await breaking;
  stop();
  return report(served, { group, faults: faults.length });
}

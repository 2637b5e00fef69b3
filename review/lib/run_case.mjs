// Runs a case: prints nothing, and exits as the case says.
import { createRecord } from "./deployment.mjs";

/** Whether the disruption takes place; `TROUBLE=0` leaves it out. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** Longest run, after which the case counts as one that couldn't run. */
const MAX_RUN_MS = 100_000;

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/**
 * Runs `main(record, onStop)`, which resolves to whether the rule was broken,
 * or to `null` if the case couldn't be judged.
 */
export async function runCase(main) {
  const record = createRecord(process.argv[2]);
  const parts = [];
  let code = 2;
  const timer = setTimeout(() => finish(), MAX_RUN_MS);

  async function finish() {
    clearTimeout(timer);
    for (const part of parts) await part.stop();
    record("exit", { code });
    process.exit(code);
  }

  for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"])
    process.on(signal, () => void finish());
  try {
    const isBroken = await main(record, (part) => parts.push(part));
    if (isBroken !== null) code = isBroken ? 1 : 0;
  } catch (error) {
    record("could_not_run", { reason: String(error) });
  }
  await finish();
}

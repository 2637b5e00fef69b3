/** Callers that keep to no limits, beside those of the soak. */
import { sendCrowd } from "../crowds/crowd.ts";
import { gatewayCrowdKinds } from "../crowds/gateway_crowds.ts";
import type { SeededRandom } from "../seeded_random.ts";
import type { InstanceProcess } from "./instance_process.ts";
import { sleep } from "./timing.ts";

const KINDS = gatewayCrowdKinds({ bodyBytes: 100_000, deadlineMs: 3_000 });

/** Sends a crowd to one instance, or to all of them so that no other helps. */
export async function sendCrowds(
  instances: readonly InstanceProcess[],
  random: SeededRandom,
): Promise<void> {
  const drawn = KINDS[random.between(0, KINDS.length - 1)];
  const connections = random.between(10, 60);
  const first = random.between(0, instances.length - 1);
  const isEverywhere = random.between(0, 2) === 0;
  const lastsMs = random.between(500, 3_000);
  if (!drawn) return;
  const chosen = isEverywhere ? instances : instances.slice(first, first + 1);
  const crowds = chosen.map(({ url }) =>
    sendCrowd({ ...drawn, connections }, Number(new URL(url).port)),
  );
  await sleep(lastsMs);
  await Promise.all(crowds.map((crowd) => crowd.leave()));
}

/** Publishes the first note of a measured deployment and waits for it. */

import type { Deployment } from "@rosemarypin/launcher";
import { formatAddress, noteStatusSchema } from "@rosemarypin/schemas";
import { pause } from "@rosemarypin/timing";
import { request } from "undici";
import { BENCH_LAYERS, benchShape } from "./bench_shape.ts";

const POLL_MS = 100;
/** Instances read the state of engines this often. */
const SETTLE_MS = 1_000;

/** Resolves once the note is in force and all instances know the engines. */
export async function publishFirstNote(deployment: Deployment): Promise<void> {
  const admin = deployment.plan.daemons[0]?.instance.addresses.admin;
  if (!admin) throw new Error("the deployment has no instance");
  const base = `http://${formatAddress(admin)}/v1/notes`;
  const headers = {
    authorization: `Bearer ${benchShape.adminKey}`,
    "content-type": "application/json",
  };
  const layerSets = [{ name: "all", from: 0, to: BENCH_LAYERS }];
  const version = {
    kind: "version",
    model: benchShape.model,
    version: "v1",
    layers: BENCH_LAYERS,
    layerSets,
  };
  const note = {
    supersedes: 0,
    publishId: "bench-first-note",
    reason: "bench",
    added: [version],
  };
  const published = await request(base, {
    method: "POST",
    headers,
    body: JSON.stringify(note),
  });
  await published.body.dump();
  let phase = "";
  while (phase !== "in_force") {
    await pause(POLL_MS);
    const response = await request(`${base}/1/status`, { headers });
    ({ phase } = noteStatusSchema.parse(await response.body.json()));
  }
  await pause(SETTLE_MS);
}

import { once } from "node:events";
import { mkdtempSync, readdirSync, rmSync } from "node:fs";
import { createServer, type Server } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, describe, expect, it } from "vitest";
import { startDeployment } from "./deployment.ts";
import { type DeploymentPlan, planDeployment } from "./deployment_plan.ts";
import { kanemShape } from "./kanem.ts";

/** Longer than the test may take, so that it fails if this is waited for. */
const LONG_MS = 600_000;

let occupant: Server;

afterEach(() => void occupant.close());

/** Plans a deployment and occupies a port of its second instance. */
async function planWithTakenPort(): Promise<DeploymentPlan> {
  const plan = await planDeployment({ ...kanemShape, instances: 2 });
  const address = plan.daemons[1]?.instance.addresses.admin;
  occupant = createServer().listen(address);
  await once(occupant, "listening");
  return plan;
}

describe("a deployment of which a process ends at its start", () => {
  // Guards against a set-up that waits for a process that is gone, and whose
  // error hides why it ended.
  it("fails at once, with the name, exit code and last lines of it", async () => {
    const plan = await planWithTakenPort();
    const port = plan.daemons[1]?.instance.addresses.admin.port;
    const started = startDeployment(plan, { readyWithinMs: LONG_MS });
    await expect(started).rejects.toThrow(
      new RegExp(`^entry-2 ended with exit code 1:[^]*EADDRINUSE[^]*${port}`),
    );
  });

  // Guards against processes and folders that a failed set-up leaves behind.
  it("stops what was started and removes its folder", async () => {
    const plan = await planWithTakenPort();
    const parentFolder = mkdtempSync(join(tmpdir(), "launcher-test-"));
    const started = startDeployment(plan, { parentFolder });
    expect(readdirSync(parentFolder)).toHaveLength(1);
    await expect(started).rejects.toThrow();
    expect(readdirSync(parentFolder)).toEqual([]);
    rmSync(parentFolder, { recursive: true });
    const addresses = plan.standIns.map(({ settings }) => settings.address);
    const servers = addresses.map((address) => createServer().listen(address));
    await Promise.all(servers.map((server) => once(server, "listening")));
    for (const server of servers) server.close();
  });
});

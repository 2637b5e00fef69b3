import { formatAddress } from "@rosemarypin/schemas";
import { expectedAnswer } from "@rosemarypin/stand_ins";
import { request } from "undici";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { streamAnswer } from "./caller.ts";
import { type Deployment, startDeployment } from "./deployment.ts";
import { planDeployment } from "./deployment_plan.ts";
import { KANEM_LAYERS, kanemShape } from "./kanem.ts";

const KEY = "kano-demo-key";
const PROMPT = "the header does not lift";
const MAX_TOKENS = 20;
const speeds = kanemShape.engineGroups.map(({ speed }) => speed);
const [FAST, , SLOW] = speeds;
if (!FAST || !SLOW) throw new Error("the shape has no engine groups");

let deployment: Deployment;

/** One domain with four engines, of which none says what it holds. */
beforeAll(async () => {
  const plan = await planDeployment({
    ...kanemShape,
    domains: ["ng-south-a"],
    instances: 1,
    engineGroups: [],
    placedGroups: [
      { accelerator: "fast", checksFencing: true, speed: FAST, perDomain: 2 },
      { accelerator: "slow", checksFencing: false, speed: SLOW, perDomain: 2 },
    ],
    overrides: {
      placement: {
        accelerators: [
          {
            name: "fast",
            memoryMegabytes: 1_600,
            batchMs: 2,
            layerMs: 2,
          },
          {
            name: "slow",
            memoryMegabytes: 1_000,
            batchMs: 3,
            layerMs: 4,
          },
        ],
        models: [
          {
            model: kanemShape.model,
            layerMegabytes: 40,
            kvMegabytes: 20,
            adapterMegabytes: 0,
            layerCost: 1,
            versionsAtOnce: 2,
            weight: 1,
          },
        ],
        loadMegabytesPerSecond: 10_000,
      },
    },
  });
  deployment = await startDeployment(plan);
});
afterAll(() => deployment?.stop());

describe("engines without roles", () => {
  it("are given layers, and answer", async () => {
    await publish({ supersedes: 0, version: "v1" });
    expect(await waitForVersion("v1")).toEqual(expectedOf("v1"));
  });

  it("answer from a new version when all of it is loaded", async () => {
    // Operators add v2. Traffic must move only when engines hold all of it,
    // and no answer may mix the two while they load.
    await publish({ supersedes: 1, version: "v2" });
    expect(await waitForVersion("v2")).toEqual(expectedOf("v2"));
  });
});

function expectedOf(version: string) {
  const { tokens, digest } = expectedAnswer({
    weights: { model: kanemShape.model, version },
    layers: KANEM_LAYERS,
    promptTokens: PROMPT.split(" "),
    maxTokens: MAX_TOKENS,
  });
  return { tokens, digest };
}

/** Asks until a version answers; any other answer must be whole as well. */
async function waitForVersion(version: string) {
  while (true) {
    const answer = await streamAnswer({
      baseUrl: urlOf("callers"),
      key: KEY,
      model: kanemShape.model,
      prompt: PROMPT,
      maxTokens: MAX_TOKENS,
    });
    if (answer.kind === "whole") {
      const { tokens, provenance } = answer;
      const { digest } = provenance;
      if (provenance.version === version) return { tokens, digest };
      expect({ tokens, digest }).toEqual(expectedOf(provenance.version));
    }
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
}

async function publish(note: {
  readonly supersedes: number;
  readonly version: string;
}): Promise<void> {
  const { supersedes, version } = note;
  const response = await request(`${urlOf("admin")}/v1/notes`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${kanemShape.adminKey}`,
      "content-type": "application/json",
    },
    body: JSON.stringify({
      supersedes,
      publishId: `publish-${version}`,
      reason: `version ${version}`,
      added: [
        {
          kind: "version",
          model: kanemShape.model,
          version,
          layers: KANEM_LAYERS,
          layerSets: [{ name: version, from: 0, to: KANEM_LAYERS }],
          serve: true,
        },
      ],
      changed: [],
      withdrawn: [],
    }),
  });
  const text = await response.body.text();
  if (response.statusCode >= 400) throw new Error(text);
}

function urlOf(server: "callers" | "admin"): string {
  const [daemon] = deployment.plan.daemons;
  if (!daemon) throw new Error("the plan has no instance");
  return `http://${formatAddress(daemon.instance.addresses[server])}`;
}

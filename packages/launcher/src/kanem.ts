/** A small deployment in the likeness of Kanem's, for the demo. */
import type { DeploymentShape } from "./deployment_plan.ts";

/** Layers of the demo's model. */
export const KANEM_LAYERS = 24;

const FAST = {
  batchMs: 2,
  layerMicros: 60,
  promptFactor: 0.05,
  linkMs: 0.5,
  batchSize: 32,
};
const SLOW = {
  batchMs: 3,
  layerMicros: 120,
  promptFactor: 0.05,
  linkMs: 2,
  batchSize: 16,
};

/** Three failure domains, four instances, nine engines, one service. */
export const kanemShape: DeploymentShape = {
  deployment: "kanem",
  region: "ng-south",
  domains: ["ng-south-a", "ng-south-b", "ng-south-c"],
  instances: 4,
  model: "assist",
  engineGroups: [
    {
      accelerator: "fast",
      layers: { from: 0, to: 10 },
      checksFencing: true,
      speed: FAST,
      perDomain: 1,
    },
    {
      accelerator: "fast",
      layers: { from: 10, to: 19 },
      checksFencing: true,
      speed: FAST,
      perDomain: 1,
    },
    {
      accelerator: "slow",
      layers: { from: 19, to: 24 },
      checksFencing: false,
      speed: SLOW,
      perDomain: 1,
    },
  ],
  service: {
    name: "dealer-app",
    servers: 3,
    calls: [
      { method: "POST", path: "/orders", idempotent: false },
      { method: "POST", path: "/visits", idempotent: false },
      { method: "GET", path: "/stock/*", idempotent: true },
      { method: "GET", path: "/jobs/*", idempotent: true },
    ],
  },
  organisations: [
    { name: "kano", key: "kano-demo-key", priority: "interactive", weight: 3 },
    { name: "lagos", key: "lagos-demo-key", priority: "standard", weight: 1 },
  ],
  adminKey: "operators-demo-key",
};

/** A long scenario of faults, publishes and recalls, drawn from a seed. */
import {
  type Scenario,
  type Step,
  scenarioSchema,
} from "@rosemarypin/scenarios";
import type { SeededRandom } from "../seeded_random.ts";
import { drawFaults } from "./soak_faults.ts";

const MODEL = "assist";
const LAYERS = 24;
/** Longest wait for a note, after its faults have ended. */
const IN_FORCE_SECONDS = 60;
const FAULT_SECONDS = { low: 1, high: 6 };
/** Time to recover: lapsed leases, restarts, slow starts. */
const CALM_SECONDS = 5;
const TRAFFIC: readonly Step[] = [
  { startTraffic: trafficOf("mechanics", { callers: 5, maxTokens: 24 }) },
  { startTraffic: trafficOf("planners", { callers: 3, maxTokens: 80 }) },
  {
    startTraffic: {
      name: "parts",
      kind: "orders",
      callers: 3,
      maxTokens: 1,
      pauseMs: 100,
      resumes: false,
    },
  },
];

/** Draws a scenario of rounds that each publish and recall a version. */
export function drawSoak(random: SeededRandom, rounds: number): Scenario {
  const numbers = Array.from({ length: rounds }, (_, index) => index + 1);
  return scenarioSchema.parse({
    name: "soak",
    story: "Random faults under answers and orders; every promise holds.",
    cast: { instances: 4, enginesPerStage: 1 },
    notes: Object.assign({}, ...numbers.map(notesOf)),
    steps: [
      { publish: "v1" },
      { waitInForce: "v1" },
      ...TRAFFIC,
      ...numbers.flatMap((number) => drawRound(number, random)),
      { stopTraffic: "mechanics" },
      { stopTraffic: "planners" },
      { stopTraffic: "parts" },
    ],
    promises: [
      "answers_true",
      "cut_only_by_kills",
      "withdrawn_is_silent",
      "notes_never_revert",
      "at_most_once",
      "not_run_is_true",
      "answered_calls_ran",
      "leaving_gets_nothing",
    ],
  });
}

function trafficOf(
  name: string,
  load: { readonly callers: number; readonly maxTokens: number },
) {
  return {
    name,
    kind: "answers" as const,
    pauseMs: 0,
    resumes: false,
    ...load,
  };
}

function notesOf(number: number): object {
  const version = `soak-v${number}`;
  const layerSet = { name: `base-${version}`, from: 0, to: LAYERS };
  const added = {
    kind: "version",
    model: MODEL,
    version,
    layers: LAYERS,
    layerSets: [layerSet],
  };
  const withdrawn = { kind: "version", model: MODEL, version };
  return {
    [`add-${number}`]: { reason: "a new version", added: [added] },
    [`recall-${number}`]: { reason: "faulty batch", withdrawn: [withdrawn] },
  };
}

/**
 * The recall may be published while the faults last. It is published again
 * after them, by the same publish id: if it was recorded, that changes
 * nothing, and if its reply was lost it is found again.
 */
function drawRound(number: number, random: SeededRandom): readonly Step[] {
  const add = `add-${number}`;
  const recall = `recall-${number}`;
  const faults = drawFaults(random);
  const { low, high } = FAULT_SECONDS;
  const isRecalledEarly = random.chance(0.5);
  const early: Step[] = isRecalledEarly ? [{ publish: recall }] : [];
  return [
    { publish: add },
    { waitInForce: add, withinSeconds: IN_FORCE_SECONDS },
    { wait: 1 },
    ...faults.map(({ begin }) => begin),
    ...early,
    { wait: random.between(low, high) },
    ...faults.flatMap(({ end }) => end),
    { wait: CALM_SECONDS },
    { publish: recall },
    { waitInForce: recall, withinSeconds: IN_FORCE_SECONDS },
  ];
}

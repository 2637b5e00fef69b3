/** Each cost that grows with the size of a deployment, measured. */
import { createFairQueue, type QueueAttributes } from "@rosemarypin/admission";
import { choosePipeline } from "@rosemarypin/routing";
import { noteRecordSchema } from "@rosemarypin/schemas";
import {
  fleetBytes,
  metricsBytes,
  metricsPageBytes,
  requestMicros,
  subsetMicros,
  tokenMicros,
} from "./control_slopes.ts";
import {
  sampleEngine,
  sampleMember,
  sampleNote,
  sampleOrganisation,
  sampleVersion,
} from "./sample_objects.ts";
import {
  fitSlope,
  heapBytes,
  microsPerCall,
  type Point,
  type Slope,
} from "./slope.ts";

/** A measured slope with its units. */
export interface NamedSlope {
  readonly name: string;
  /** What the size counts. */
  readonly per: string;
  readonly unit: string;
  readonly measure: () => Slope | Promise<Slope>;
}

/** All slopes that `npm run bench -- capacity` prints. */
export const namedSlopes: readonly NamedSlope[] = [
  {
    name: "choice of a pipeline",
    per: "engine known to the instance",
    unit: "µs a request",
    measure: () => overSizes([20, 40, 80, 160], choiceMicros),
  },
  {
    name: "fair queue, one request in and out",
    per: "request waiting",
    unit: "µs a request",
    measure: () => overSizes([100, 300, 1_000], queueMicros),
  },
  {
    name: "waiting requests",
    per: "request waiting",
    unit: "bytes",
    measure: () => overSizes([1_000, 4_000, 16_000], queueBytes),
  },
  {
    name: "engines known",
    per: "engine",
    unit: "bytes",
    measure: () =>
      overSizes([100, 400, 1_600], (n) => listBytes(n, sampleEngine)),
  },
  {
    name: "member records",
    per: "instance",
    unit: "bytes",
    measure: () =>
      overSizes([100, 400, 1_600], (n) => listBytes(n, sampleMember)),
  },
  {
    name: "organisations",
    per: "organisation",
    unit: "bytes",
    measure: () =>
      overSizes([800, 1_600, 6_400], (n) => listBytes(n, sampleOrganisation)),
  },
  {
    name: "note record, stored",
    per: "withdrawal kept",
    unit: "bytes in the store",
    measure: () =>
      overSizes([0, 400, 1_600], (n) => JSON.stringify(sampleNote(n)).length),
  },
  {
    name: "note record, checked and parsed",
    per: "withdrawal kept",
    unit: "µs a note",
    measure: () => overSizes([0, 400, 1_600], noteMicros),
  },
  {
    name: "engines in a fleet",
    per: "engine of the settings",
    unit: "bytes",
    measure: () => overSizes([100, 400, 1_600], fleetBytes),
  },
  {
    name: "choice of a subset of 650 engines",
    per: "instance",
    unit: "µs a change of members",
    measure: () => overSizes([85, 170, 340], subsetMicros),
  },
  {
    name: "latency metrics",
    per: "model (an organisation and model, had they that label)",
    unit: "bytes",
    measure: () => overSizes([400, 1_600, 6_400], metricsBytes),
  },
  {
    name: "page of metrics",
    per: "model (an organisation and model, had they that label)",
    unit: "bytes",
    measure: () => overSizesInTurn([16, 160, 1_600], metricsPageBytes),
  },
  {
    name: "router, one request without its tokens",
    per: "engine used",
    unit: "µs a request",
    measure: () => overSizesInTurn([20, 40, 80, 160], requestMicros),
  },
  {
    name: "router, one token",
    per: "engine used",
    unit: "µs a token",
    measure: () => overSizesInTurn([20, 40, 80, 160], tokenMicros),
  },
];

async function overSizesInTurn(
  sizes: readonly number[],
  cost: (size: number) => Promise<number>,
): Promise<Slope> {
  const points: Point[] = [];
  for (const size of sizes) points.push({ size, cost: await cost(size) });
  return fitSlope(points);
}

function overSizes(
  sizes: readonly number[],
  cost: (size: number) => number,
): Slope {
  return fitSlope(sizes.map((size) => ({ size, cost: cost(size) })));
}

function choiceMicros(count: number): number {
  const engines = Array.from({ length: count }, (_, i) => sampleEngine(i));
  const need = {
    model: "assist",
    version: sampleVersion,
    adapter: undefined,
    failureDomain: "domain-1",
    avoid: new Set<string>(),
    windowOf: () => 16,
    random: () => 0.5,
  };
  return microsPerCall(() => void choosePipeline(engines, need), {
    calls: 2_000,
  });
}

function factsOf(index: number): QueueAttributes {
  const organisation = `organisation-${index % 6_400}`;
  return { organisation, weight: 1, priority: 1, cost: 100 };
}

function queueMicros(count: number): number {
  const queue = createFairQueue<number>();
  for (let index = 0; index < count; index++) queue.push(index, factsOf(index));
  let next = count;
  return microsPerCall(
    () => {
      next += 1;
      queue.workAhead(factsOf(next));
      queue.push(next, factsOf(next));
      const ticket = queue.peek();
      if (ticket) queue.serve(ticket);
    },
    { calls: 1_000 },
  );
}

function queueBytes(count: number): number {
  return heapBytes(() => {
    const queue = createFairQueue<object>();
    for (let index = 0; index < count; index++) {
      queue.push({ index }, factsOf(index));
    }
    return queue;
  });
}

function listBytes(count: number, make: (index: number) => unknown): number {
  return heapBytes(
    () => new Map(Array.from({ length: count }, (_, i) => [`${i}`, make(i)])),
  );
}

function noteMicros(withdrawals: number): number {
  const text = JSON.stringify(sampleNote(withdrawals));
  return microsPerCall(() => void noteRecordSchema.parse(JSON.parse(text)), {
    calls: 50,
  });
}

/** Objects of realistic size for the slopes. */
import type { EngineSnapshot } from "@rosemarypin/backends";
import type {
  Catalogue,
  MemberRecord,
  ModelVersion,
  NoteRecord,
  Organisation,
} from "@rosemarypin/schemas";

const LAYERS = 48;
const STAGES = 4;

export const sampleVersion: ModelVersion = {
  version: "2026-11",
  layers: LAYERS,
  layerSets: [{ name: "all-2026-11", from: 0, to: LAYERS }],
  addedBy: 1,
};

/** Engine `index` of a domain in which each pipeline has four stages. */
export function sampleEngine(index: number): EngineSnapshot {
  const width = LAYERS / STAGES;
  const stage = index % STAGES;
  const layers = { from: stage * width, to: (stage + 1) * width };
  const roles = [{ model: "assist", layers }];
  const id = `engine-${index}`;
  const address = { host: "127.0.0.1", port: 1 + index };
  const accelerator = "middle";
  const failureDomain = "domain-1";
  return {
    settings: {
      id,
      failureDomain,
      address,
      accelerator,
      checksFencing: true,
      roles,
    },
    state: {
      engine: id,
      accelerator,
      failureDomain,
      roles,
      fencingNumber: 7,
      noteNumber: 9,
      held: [{ model: "assist", version: sampleVersion.version, layers }],
      adapters: [{ model: "assist", adapter: "harvest" }],
      running: [{ model: "assist", version: "2026-11", count: 12 }],
      leaving: false,
      load: 12,
    },
    usable: true,
    inFlight: index % 5,
  };
}

export function sampleMember(index: number): MemberRecord {
  return {
    id: `entry-${index}`,
    failureDomain: `domain-${index % 8}`,
    peer: { host: "127.0.0.1", port: 1 + index },
    incarnation: 1_790_000_000_000 + index,
    revision: index,
    left: false,
    shared: { note: 9, draining: false, load: index % 50 },
  };
}

export function sampleOrganisation(index: number): Organisation {
  return {
    name: `organisation-${index}`,
    keySha256: index.toString(16).padStart(64, "0"),
    weight: 1,
    priority: "standard",
  };
}

/** A note whose catalogue has 16 models and so many withdrawals. */
export function sampleNote(withdrawals: number): NoteRecord {
  const models: Catalogue["models"] = {};
  for (let index = 0; index < 16; index++) {
    models[`model-${index}`] = {
      versions: { [sampleVersion.version]: sampleVersion },
      serve: [sampleVersion.version],
      adapters: [`adapter-${index}`],
    };
  }
  const withdrawn = Array.from({ length: withdrawals }, (_, index) => ({
    line: {
      kind: "version" as const,
      model: `model-${index % 16}`,
      version: `version-${index}`,
    },
    number: index + 1,
    reason: "a faulty batch, reported by the supplier",
  }));
  return {
    number: withdrawals + 1,
    note: {
      supersedes: withdrawals,
      publishId: "publish-sample",
      reason: "sample",
      added: [],
      changed: [],
      withdrawn: [],
    },
    catalogue: { models, services: ["dealer-app"], withdrawn },
    recordedAt: 1_790_000_000_000,
    recordedBy: "entry-1",
  };
}

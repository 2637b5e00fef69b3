/** Notes that every scenario may publish by name. */
import { KANEM_LAYERS, kanemShape } from "@rosemarypin/launcher";
import { z } from "zod";
import { scenarioNoteSchema } from "./scenario_schema.ts";

const { model, service } = kanemShape;

function version(name: string) {
  return {
    kind: "version",
    model,
    version: name,
    layers: KANEM_LAYERS,
    layerSets: [{ name: `base-${name}`, from: 0, to: KANEM_LAYERS }],
  };
}

/**
 * `v1` adds the first version and the service, `v2` and `v3` add versions
 * that are served first, `recall-v2` and `recall-v3` withdraw them.
 */
export const standardNotes = z.record(z.string(), scenarioNoteSchema).parse({
  v1: {
    reason: "first version",
    added: [version("v1"), { kind: "service", service: service.name }],
  },
  v2: { reason: "second version", added: [version("v2")] },
  v3: { reason: "third version", added: [version("v3")] },
  "recall-v2": {
    reason: "faulty batch",
    withdrawn: [{ kind: "version", model, version: "v2" }],
  },
  "recall-v3": {
    reason: "faulty batch",
    withdrawn: [{ kind: "version", model, version: "v3" }],
  },
});

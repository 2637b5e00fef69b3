/**
 * `npm run bench -- confirmations`: bytes and calls that it takes one instance
 * to collect the confirmations of a note, by the size of the fleet.
 */
import { createMemoryStore, createPeerNetwork } from "@rosemarypin/fakes";
import type { PeerCaller } from "@rosemarypin/membership";
import {
  createConfirmer,
  createNoteKeeper,
  createPublisher,
  createStatusCollector,
  readRegistry,
} from "@rosemarypin/release";
import { noteRequestSchema, releaseNoteSchema } from "@rosemarypin/schemas";
import type { BenchCommand } from "../bench_command.ts";

const DOMAINS = 8;
const SIZES = [4, 16, 64, 340] as const;
const deployment = "bench";
const ALLOWANCE_MS = 3_600_000;
const SETTLE_MS = 1_500;

const note = releaseNoteSchema.parse({
  supersedes: 0,
  publishId: "bench-note-1",
  reason: "bench",
  added: [{ kind: "service", service: "dealer-app" }],
});

/** The measurement of confirmations. */
export const confirmationsCommand: BenchCommand = {
  summary: "bytes to collect the confirmations of a note",
  async run() {
    let last = "";
    for (const instances of SIZES) {
      const first = await measure(instances);
      last =
        `confirmations instances ${instances} calls ${first.calls} ` +
        `bytes ${first.bytes} whole-lists ${first.wholeListBytes} ` +
        `again ${first.bytesAgain}`;
      console.log(last);
    }
    return 0;
  },
};

async function measure(instances: number) {
  const network = createPeerNetwork();
  const { store } = createMemoryStore().client();
  const counted = { calls: 0, bytes: 0 };
  const nodes = Array.from({ length: instances }, (_, index) => {
    const id = `entry-${index + 1}`;
    const domain = `ng-south-${index % DOMAINS}`;
    const { membership, caller, serve } = network.join({ id, domain });
    const keeper = createNoteKeeper({
      deployment,
      store,
      membership,
      peers: caller,
    });
    const confirmer = createConfirmer({
      membership,
      keeper,
      engines: () => [],
    });
    serve({
      "note.current": (params) =>
        keeper.answer(noteRequestSchema.parse(params)),
      "note.confirm": (params) => confirmer.confirm(params),
    });
    return { id, membership, caller, keeper, confirmer };
  });
  const [first] = nodes;
  if (!first) throw new Error("a fleet has an instance");
  const { membership, keeper, confirmer } = first;
  const collector = createStatusCollector({
    membership,
    peers: countBytes(first.caller, counted),
    keeper,
    confirmer,
    engines: () => [],
    readRegistry: () => readRegistry({ deployment, store }),
    allowanceMs: ALLOWANCE_MS,
    refusedConnectionShowsEnd: true,
  });
  const publisher = createPublisher({
    deployment,
    instance: first.id,
    store,
    keeper,
  });
  await publisher.publish(note);
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
  await collector.status(1);
  const { calls, bytes } = counted;
  counted.bytes = 0;
  await collector.status(1);
  const bytesAgain = counted.bytes;
  const wholeList = JSON.stringify(confirmer.confirm({})).length;
  for (const node of nodes) node.keeper.stop();
  const wholeListBytes = wholeList * (instances - 1);
  return { calls, bytes, bytesAgain, wholeListBytes };
}

/** Counts the bodies of calls and answers, without HTTP's own headers. */
function countBytes(
  caller: PeerCaller,
  counted: { calls: number; bytes: number },
): PeerCaller {
  return {
    async call(address, method, options) {
      const result = await caller.call(address, method, options);
      const params = options?.params;
      const request = { jsonrpc: "2.0", id: 1, method, params };
      const value = result.kind === "ok" ? result.value : null;
      const answer = { jsonrpc: "2.0", id: 1, result: value };
      counted.calls += 1;
      counted.bytes += JSON.stringify(request).length;
      counted.bytes += JSON.stringify(answer).length;
      return result;
    },
  };
}
